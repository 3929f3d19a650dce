package control

import (
	"context"
	"sync"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/sleep"
	"endivewing/internal/wire"
)

const (
	minRedialBackoff = 20 * time.Millisecond
	maxRedialBackoff = 250 * time.Millisecond
)

// peers sends messages to the other members. Messages that can't be sent are
// dropped; the core repeats them if necessary. It is safe for concurrent use.
type peers struct {
	self uint64
	opts wire.Options

	mu    sync.Mutex
	links map[uint64]*link
	// inbound are the sessions that other members opened. They are used if
	// there is no link to the member, because its address is not known yet, or
	// the link has no session.
	inbound map[uint64]*wire.Session
	closed  bool
}

func newPeers(self uint64, opts wire.Options) *peers {
	opts.ConnectInterval = wire.ShortConnectInterval
	return &peers{self: self, opts: opts, links: map[uint64]*link{}, inbound: map[uint64]*wire.Session{}}
}

// link maintains a session to one member.
type link struct {
	address string
	opts    wire.Options
	stop    context.CancelFunc
	ended   chan struct{}

	mu      sync.Mutex
	session *wire.Session
}

// update creates and stops links so that there is one to each other member.
func (p *peers) update(members []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	wanted := map[uint64]string{}
	for _, m := range members {
		if m.ID != p.self && m.Address != "" {
			wanted[m.ID] = m.Address
		}
	}
	for id, l := range p.links {
		if wanted[id] != l.address {
			l.stop()
			delete(p.links, id)
		}
	}
	for id, address := range wanted {
		if p.links[id] == nil {
			p.links[id] = newLink(address, p.opts)
		}
	}
}

// setInbound records the session on which a member's message arrived.
func (p *peers) setInbound(id uint64, s *wire.Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inbound[id] = s
}

// session returns a live session to a member, or nil.
func (p *peers) session(id uint64) *wire.Session {
	p.mu.Lock()
	l, inbound := p.links[id], p.inbound[id]
	p.mu.Unlock()
	if l != nil {
		if s := l.currentSession(); s != nil {
			return s
		}
	}
	if inbound == nil || isDone(inbound) {
		return nil
	}
	return inbound
}

// isDone reports whether a session has ended.
func isDone(s *wire.Session) bool {
	select {
	case <-s.Done():
		return true
	default:
		return false
	}
}

// send queues messages to their members. It does not block.
func (p *peers) send(messages []*wirepb.CoreMessage) {
	for _, m := range messages {
		if s := p.session(m.To); s != nil {
			_ = s.Send(wire.LaneUrgent, &wirepb.Envelope{Body: &wirepb.Envelope_CoreMessage{CoreMessage: m}})
		}
	}
}

// close stops all links and waits for their end.
func (p *peers) close() {
	p.mu.Lock()
	p.closed = true
	links := p.links
	p.mu.Unlock()
	for _, l := range links {
		l.stop()
	}
	for _, l := range links {
		<-l.ended
	}
}

func newLink(address string, opts wire.Options) *link {
	ctx, stop := context.WithCancel(context.Background())
	l := &link{address: address, opts: opts, stop: stop, ended: make(chan struct{})}
	go l.run(ctx)
	return l
}

// currentSession returns the session, or nil if there is none at present.
func (l *link) currentSession() *wire.Session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session
}

func (l *link) setSession(s *wire.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = s
}

// run dials the member, and again after each failure and each end of a session,
// until ctx ends. The backoff has a random part.
func (l *link) run(ctx context.Context) {
	defer close(l.ended)
	backoff := sleep.Backoff{Min: minRedialBackoff, Max: maxRedialBackoff}
	for ctx.Err() == nil {
		s, err := wire.Dial(ctx, l.address, l.opts)
		if err == nil {
			backoff.Reset()
			l.serve(ctx, s)
		}
		if !backoff.Wait(ctx) {
			return
		}
	}
}

// serve starts a session and waits until it or ctx ends.
func (l *link) serve(ctx context.Context, s *wire.Session) {
	s.Start()
	l.setSession(s)
	select {
	case <-s.Done():
	case <-ctx.Done():
		s.Close()
	}
	l.setSession(nil)
}
