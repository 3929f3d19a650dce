package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/runner"
	"endivewing/internal/sleep"
	"endivewing/internal/wire"
)

// links keeps a session to every runner that control lists.
type links struct {
	p      *Process
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu    sync.Mutex
	known map[string]*link
}

// link keeps the session to the runner at one address.
type link struct {
	address string
	name    string
	zone    string
	// listed is when control last listed the runner.
	listed time.Time
}

func newLinks(p *Process) *links {
	l := &links{p: p, known: map[string]*link{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

func (l *links) close() {
	l.cancel()
	l.done.Wait()
}

// update dials runners that are new.
func (l *links) update(processes []*wirepb.Announce) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range processes {
		if a.Role != runner.Role || l.ctx.Err() != nil {
			continue
		}
		k := l.known[a.Address]
		if k == nil {
			k = &link{address: a.Address, name: a.Name, zone: a.Zone}
			l.known[a.Address] = k
			l.done.Add(1)
			go l.keep(k)
		}
		k.listed = time.Now()
	}
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

// forget drops a runner that control has not listed for long.
func (l *links) forget(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(k.listed) < forgetRunner {
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
	s, err := wire.Dial(l.ctx, k.address, opts)
	if err != nil {
		l.p.opts.Log.V(1).Info("runner not reached", "runner", k.name, "address", k.address, "error", err.Error())
		return
	}
	l.p.post(runnerConnected{s, k.name, k.zone})
	s.Start()
	_ = s.Send(wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_Announce{Announce: l.p.announce()}})
	select {
	case <-s.Done():
	case <-l.ctx.Done():
		s.Close()
	}
	l.p.post(runnerLost{s})
	l.touch(k)
}

// touch counts the end of a session as a sign of life: the runner is dialed
// again although control may be away.
func (l *links) touch(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k.listed = time.Now()
}

// onEnvelope receives messages of runners.
func (p *Process) onEnvelope(s *wire.Session, e *wirepb.Envelope) {
	if report := e.GetRunnerReport(); report != nil {
		p.post(runnerReported{s, report})
	}
}
