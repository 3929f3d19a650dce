package entry

import (
	"context"
	"sync/atomic"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

// maxConcurrentDials bounds the sessions that are established at the same time, so
// that many agents are not dialed at once after an outage.
const maxConcurrentDials = 32

// dialer keeps a session open to each agent incarnation.
type dialer struct {
	loop        *loop
	opts        Options
	incarnation *atomic.Uint64
	dialSlots   chan struct{}
}

func newDialer(l *loop, opts Options, incarnation *atomic.Uint64) *dialer {
	return &dialer{loop: l, opts: opts, incarnation: incarnation, dialSlots: make(chan struct{}, maxConcurrentDials)}
}

// maintain keeps a session to an agent open until ctx ends. It dials again, after a
// backoff, when the session ends or can't be established.
func (d *dialer) maintain(ctx context.Context, i *wirepb.Instance, generation uint64) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		s, err := d.dial(ctx, i)
		if err != nil {
			d.opts.Log.V(1).Info("agent not reached", "agent", i.Name, "incarnation", i.Incarnation, "error", err.Error())
			backoff(ctx, attempt)
			continue
		}
		if d.runSession(ctx, s, i.Incarnation, generation) {
			attempt = 0
		}
		backoff(ctx, attempt)
	}
}

func (d *dialer) dial(ctx context.Context, i *wirepb.Instance) (*wire.Session, error) {
	select {
	case d.dialSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-d.dialSlots }()
	return wire.Dial(ctx, i.Address, d.sessionOptions(i.Incarnation))
}

// runSession gives an established session to the loop and waits for its end. It
// returns false when the peer is another incarnation or the loop rejects the
// session.
func (d *dialer) runSession(ctx context.Context, s *wire.Session, agent, generation uint64) bool {
	defer s.Close()
	if s.Peer().GetIncarnation() != agent {
		return false
	}
	reply := make(chan bool, 1)
	if !d.loop.enqueue(sessionOpened{agent: agent, generation: generation, session: s, accepted: reply}) {
		return false
	}
	select {
	case ok := <-reply:
		if !ok {
			return false
		}
	case <-ctx.Done():
		d.loop.enqueue(sessionClosed{agent: agent, session: s})
		return false
	}
	s.Start()
	select {
	case <-s.Done():
	case <-ctx.Done():
	}
	d.loop.enqueue(sessionClosed{agent: agent, session: s})
	return true
}

func (d *dialer) sessionOptions(agent uint64) wire.Options {
	return wire.Options{
		Hello: func() *wirepb.Hello {
			return &wirepb.Hello{
				Role: "entry", Name: d.opts.Name, Zone: d.opts.Zone, Cluster: d.opts.Cluster,
				Incarnation: d.incarnation.Load(),
			}
		},
		Handler: func(s *wire.Session, e *wirepb.Envelope) {
			d.loop.enqueueItem(queueItem{session: s, agent: agent, envelope: e})
		},
		TLS:   d.opts.TLS,
		Scope: d.opts.Scope,
		Log:   d.opts.Log,
	}
}
