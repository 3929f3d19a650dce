package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/runner"
	"endivewing/internal/sleep"
	"endivewing/internal/subset"
	"endivewing/internal/wire"
)

// links keeps sessions with the runners that the dispatcher works with.
type links struct {
	p      *Process
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	// connect opens a session with a runner.
	connect func(ctx context.Context, address string, opts wire.Options) (*wire.Session, error)

	mu    sync.Mutex
	known map[string]*link
}

// link is a runner that is dialed whenever its session has ended.
type link struct {
	address string
	name    string
	zone    string
	// listed is when control last listed the runner.
	listed time.Time
	// unwanted is since when the runner is not among those to work with; zero
	// while it is.
	unwanted time.Time
}

func newLinks(p *Process) *links {
	l := &links{p: p, connect: wire.Dial, known: map[string]*link{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

func (l *links) close() {
	l.cancel()
	l.done.Wait()
}

// update takes the list of processes in: runners to work with are dialed, the
// others are given up once nothing of this dispatcher runs there.
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
	l.want(listed, wanted)
	l.p.post(subsetChanged{len(wanted)})
}

func (l *links) want(listed map[string]*wirepb.Announce, wanted []subset.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	chosen := map[string]bool{}
	for _, p := range wanted {
		chosen[p.Address] = true
		if l.known[p.Address] == nil && l.ctx.Err() == nil {
			l.dial(listed[p.Address])
		}
	}
	for address, k := range l.known {
		if listed[address] == nil {
			continue // it may be back soon
		}
		k.listed = now
		switch {
		case chosen[address]:
			k.unwanted = time.Time{}
		case k.unwanted.IsZero():
			k.unwanted = now
		}
	}
}

// dial begins to keep a session with a runner. The lock is held.
func (l *links) dial(a *wirepb.Announce) {
	k := &link{address: a.Address, name: a.Name, zone: a.Zone, listed: time.Now()}
	l.known[a.Address] = k
	l.done.Add(1)
	go l.keep(k)
}

// surplus tells that a runner has not been wanted for a while: runners that are
// lost for a moment are wanted again when they are back.
func (l *links) surplus(k *link, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !k.unwanted.IsZero() && now.Sub(k.unwanted) >= retireAfter
}

// keep dials a runner again whenever its session has ended.
func (l *links) keep(k *link) {
	defer l.done.Done()
	wait := redialFirst
	for l.ctx.Err() == nil && !l.forget(k) {
		began := time.Now()
		l.serve(k)
		if time.Since(began) > redialMost {
			wait = redialFirst
		}
		if !sleep.For(l.ctx, wait/2+rand.N(wait/2)) {
			return
		}
		wait = min(2*wait, redialMost)
	}
}

// forget drops a runner that has been unlisted for long, or is not wanted.
func (l *links) forget(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.unwanted.IsZero() && time.Since(k.listed) < forgetRunner {
		return false
	}
	delete(l.known, k.address)
	return true
}

// serve keeps one session until it ends.
func (l *links) serve(k *link) {
	opts := wire.Options{
		Hello:       l.p.opts.hello,
		Handler:     l.p.onEnvelope,
		Connect:     wire.QuickConnect,
		Heartbeat:   runner.SessionHeartbeat,
		Idle:        runner.SessionIdle,
		PatientIdle: true,
		Scope:       l.p.opts.Scope,
		Log:         l.p.opts.Log,
	}
	s, err := l.connect(l.ctx, k.address, opts)
	if err != nil {
		l.p.opts.Log.V(1).Info("runner not reached", "runner", k.name, "address", k.address, "error", err.Error())
		return
	}
	l.p.post(runnerConnected{s, k})
	s.Start()
	select {
	case <-s.Done():
	case <-l.ctx.Done():
		s.Close()
	}
	l.p.post(runnerLost{s})
	l.touch(k)
}

// touch counts a runner as listed until now: its session has lasted.
func (l *links) touch(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k.listed = time.Now()
}

// onEnvelope receives reports of runners.
func (p *Process) onEnvelope(s *wire.Session, e *wirepb.Envelope) {
	if report := e.GetRunnerReport(); report != nil {
		p.post(runnerReported{s, report})
	}
}
