package entry

import (
	"context"
	"sync/atomic"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

// maxDials bounds the sessions that are being established at once, so that an
// outage of many agents does not end in a storm of attempts.
const maxDials = 32

// dialer keeps one session to each agent incarnation.
type dialer struct {
	loop        *loop
	opts        Options
	incarnation *atomic.Uint64
	slots       chan struct{}
}

func newDialer(l *loop, opts Options, incarnation *atomic.Uint64) *dialer {
	return &dialer{loop: l, opts: opts, incarnation: incarnation, slots: make(chan struct{}, maxDials)}
}

// keep dials an agent again and again, with growing jittered pauses, until ctx
// ends.
func (d *dialer) keep(ctx context.Context, i *wirepb.Instance, term uint64) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		s, err := d.dial(ctx, i)
		if err != nil {
			d.opts.Log.V(1).Info("agent not reached", "agent", i.Name, "incarnation", i.Incarnation, "error", err.Error())
			pause(ctx, attempt)
			continue
		}
		if d.use(ctx, s, i.Incarnation, term) {
			attempt = 0
		}
		pause(ctx, attempt)
	}
}

func (d *dialer) dial(ctx context.Context, i *wirepb.Instance) (*wire.Session, error) {
	select {
	case d.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-d.slots }()
	return wire.Dial(ctx, i.Address, d.options(i.Incarnation))
}

// use hands an established session to the loop until it ends. It reports false
// when the peer is another incarnation or the loop does not want it.
func (d *dialer) use(ctx context.Context, s *wire.Session, agent, term uint64) bool {
	defer s.Close()
	if s.Peer().GetIncarnation() != agent {
		return false
	}
	handled := make(chan bool, 1)
	if !d.loop.post(sessionUp{agent: agent, term: term, session: s, handled: handled}) {
		return false
	}
	select {
	case wanted := <-handled:
		if !wanted {
			return false
		}
	case <-ctx.Done():
		d.loop.post(sessionDown{agent: agent, session: s})
		return false
	}
	s.Start()
	select {
	case <-s.Done():
	case <-ctx.Done():
	}
	d.loop.post(sessionDown{agent: agent, session: s})
	return true
}

func (d *dialer) options(agent uint64) wire.Options {
	return wire.Options{
		Hello: func() *wirepb.Hello {
			return &wirepb.Hello{
				Role: "entry", Name: d.opts.Name, Zone: d.opts.Zone, Cluster: d.opts.Cluster,
				Incarnation: d.incarnation.Load(),
			}
		},
		Handler: func(s *wire.Session, e *wirepb.Envelope) {
			d.loop.push(event{session: s, agent: agent, envelope: e})
		},
		TLS:   d.opts.TLS,
		Scope: d.opts.Scope,
		Log:   d.opts.Log,
	}
}
