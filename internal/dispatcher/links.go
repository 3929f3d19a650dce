package dispatcher

import (
	"context"
	"sync"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/runner"
	"endivewing/internal/sleep"
	"endivewing/internal/subset"
	"endivewing/internal/wire"
)

// links maintains sessions with the runners that the dispatcher works with.
type links struct {
	p      *Process
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	// connect opens a session with a runner.
	connect func(ctx context.Context, address string, opts wire.Options) (*wire.Session, error)

	mu        sync.Mutex
	byAddress map[string]*link
}

// link is a runner that is dialed again whenever its session ends.
type link struct {
	address string
	name    string
	zone    string
	// listedAt is when control last listed the runner.
	listedAt time.Time
	// unwantedSince is when the runner was dropped from the chosen runners;
	// zero while it is chosen.
	unwantedSince time.Time
}

func newLinks(p *Process) *links {
	l := &links{p: p, connect: wire.Dial, byAddress: map[string]*link{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

func (l *links) close() {
	l.cancel()
	l.done.Wait()
}

// update applies a list of processes. It chooses the runners to work with and
// dials new ones. The others are closed once they have no tasks of this
// dispatcher.
func (l *links) update(processes []*wirepb.Announce) {
	listed := map[string]*wirepb.Announce{}
	var peers []subset.Peer
	dispatchers := 0
	for _, a := range processes {
		switch a.Role {
		case Role:
			dispatchers++
		case runner.Role:
			listed[a.Address] = a
			peers = append(peers, subset.Peer{Address: a.Address, Zone: a.Zone, Service: a.Service, Traits: a.Traits})
		}
	}
	wanted := subset.Choose(l.p.opts.Name, l.p.opts.Zone, peers, dispatchers)
	l.setWanted(listed, wanted)
	l.p.enqueue(subsetChanged{len(wanted)})
}

// setWanted dials chosen runners that have no link, and records which links are
// not chosen. Neither is the earlier address of a runner that is listed under
// another one: two sessions of a dispatcher with one runner end each other.
func (l *links) setWanted(listed map[string]*wirepb.Announce, wanted []subset.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	names := map[string]bool{}
	for _, a := range listed {
		names[a.Name] = true
	}
	chosen := map[string]bool{}
	for _, p := range wanted {
		chosen[p.Address] = true
		if l.byAddress[p.Address] == nil && l.ctx.Err() == nil {
			l.dial(listed[p.Address])
		}
	}
	for address, k := range l.byAddress {
		if listed[address] == nil && !names[k.name] {
			continue // a missing runner may be listed again soon
		}
		k.listedAt = now
		switch {
		case chosen[address]:
			k.unwantedSince = time.Time{}
		case k.unwantedSince.IsZero():
			k.unwantedSince = now
		}
	}
}

// dial starts to maintain a session with a runner. The caller holds mu.
func (l *links) dial(a *wirepb.Announce) {
	k := &link{address: a.Address, name: a.Name, zone: a.Zone, listedAt: time.Now()}
	l.byAddress[a.Address] = k
	l.done.Add(1)
	go l.maintain(k)
}

// surplus reports whether a runner has not been chosen for surplusTimeout. The
// delay avoids closing sessions after a short change of the list: a runner that
// is lost for a moment is chosen again when it is back.
func (l *links) surplus(k *link, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !k.unwantedSince.IsZero() && now.Sub(k.unwantedSince) >= surplusTimeout
}

// maintain dials a runner again whenever its session has ended, with a backoff.
func (l *links) maintain(k *link) {
	defer l.done.Done()
	backoff := sleep.Backoff{Min: minRedialBackoff, Max: maxRedialBackoff}
	for l.ctx.Err() == nil && !l.dropUnneeded(k) {
		began := time.Now()
		l.runSession(k)
		if time.Since(began) > maxRedialBackoff {
			backoff.Reset()
		}
		if !backoff.Wait(l.ctx) {
			return
		}
	}
}

// dropUnneeded removes a runner that is not chosen or has not been listed for
// unlistedTimeout. It reports whether it did.
func (l *links) dropUnneeded(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.unwantedSince.IsZero() && time.Since(k.listedAt) < unlistedTimeout {
		return false
	}
	delete(l.byAddress, k.address)
	return true
}

// runSession runs one session until it ends.
func (l *links) runSession(k *link) {
	closed := make(chan struct{})
	opts := wire.Options{
		Hello:             l.p.opts.hello,
		Handler:           l.p.onEnvelope,
		OnClosed:          func(*wire.Session) { close(closed) },
		ConnectInterval:   wire.ShortConnectInterval,
		HeartbeatInterval: runner.SessionHeartbeatInterval,
		IdleTimeout:       runner.SessionIdleTimeout,
		IgnoreLocalStalls: true,
		Scope:             l.p.opts.Scope,
		Log:               l.p.opts.Log,
	}
	s, err := l.connect(l.ctx, k.address, opts)
	if err != nil {
		l.p.opts.Log.V(1).Info("connection to runner failed", "runner", k.name, "address", k.address, "error", err.Error())
		return
	}
	l.p.enqueue(runnerConnected{s, k})
	s.Start()
	select {
	case <-closed:
	case <-l.ctx.Done():
		s.Close()
		<-closed // its last reports are queued now
	}
	l.p.enqueue(runnerLost{s})
	l.markListed(k)
}

// markListed treats a runner as listed now, since its session has lasted until
// now.
func (l *links) markListed(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k.listedAt = time.Now()
}

// onEnvelope passes reports of runners to the loop.
func (p *Process) onEnvelope(s *wire.Session, e *wirepb.Envelope) {
	if report := e.GetRunnerReport(); report != nil {
		p.enqueue(runnerReported{s, report})
	}
}
