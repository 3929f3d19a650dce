package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

const (
	redialFirst = 20 * time.Millisecond
	redialMost  = 250 * time.Millisecond
)

// peers carries messages to the other members. What can't be sent is dropped:
// the core sends again what matters.
type peers struct {
	self uint64
	opts wire.Options

	mu    sync.Mutex
	links map[uint64]*link
	// inbound are the sessions that members opened, for one whose address is
	// not known yet.
	inbound map[uint64]*wire.Session
	closed  bool
}

func newPeers(self uint64, opts wire.Options) *peers {
	opts.Connect = wire.QuickConnect
	return &peers{self: self, opts: opts, links: map[uint64]*link{}, inbound: map[uint64]*wire.Session{}}
}

// link keeps a session to one member.
type link struct {
	address string
	opts    wire.Options
	stop    context.CancelFunc
	ended   chan struct{}

	mu      sync.Mutex
	session *wire.Session
}

// update makes the links fit the membership.
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

// heard notes the session on which a member speaks.
func (p *peers) heard(id uint64, s *wire.Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inbound[id] = s
}

// session returns a session to a member, or nil.
func (p *peers) session(id uint64) *wire.Session {
	p.mu.Lock()
	l, inbound := p.links[id], p.inbound[id]
	p.mu.Unlock()
	if l != nil {
		if s := l.live(); s != nil {
			return s
		}
	}
	if inbound == nil || ended(inbound) {
		return nil
	}
	return inbound
}

func ended(s *wire.Session) bool {
	select {
	case <-s.Done():
		return true
	default:
		return false
	}
}

// send passes messages on. It does not wait.
func (p *peers) send(messages []*wirepb.CoreMessage) {
	for _, m := range messages {
		if s := p.session(m.To); s != nil {
			_ = s.Send(wire.LaneUrgent, &wirepb.Envelope{Body: &wirepb.Envelope_CoreMessage{CoreMessage: m}})
		}
	}
}

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

func (l *link) live() *wire.Session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session
}

func (l *link) set(s *wire.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = s
}

// run dials again whenever the session has ended.
func (l *link) run(ctx context.Context) {
	defer close(l.ended)
	wait := redialFirst
	for ctx.Err() == nil {
		s, err := wire.Dial(ctx, l.address, l.opts)
		if err == nil {
			wait = redialFirst
			l.serve(ctx, s)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait/2)):
		}
		wait = min(2*wait, redialMost)
	}
}

func (l *link) serve(ctx context.Context, s *wire.Session) {
	s.Start()
	l.set(s)
	select {
	case <-s.Done():
	case <-ctx.Done():
		s.Close()
	}
	l.set(nil)
}
