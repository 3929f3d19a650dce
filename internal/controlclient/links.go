package controlclient

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

const (
	dialTimeout = time.Second
	// retiredSessionTimeout is how long a session with a member that is not the
	// leader is kept for the requests in flight on it.
	retiredSessionTimeout = 3 * time.Second
)

// errClientClosed is returned by requests after Close.
var errClientClosed = errors.New("controlclient: closed")

// sessionManager maintains the one session that requests use.
type sessionManager struct {
	opts Options
	wire wire.Options

	mu         sync.Mutex
	current    *wire.Session
	address    string // the address of current
	dialing    chan struct{}
	leaderHint string // the address to dial next, if known
	nextIndex  int    // the index of the address to dial when there is no hint
	// retired are the sessions with members that were not the leader, by
	// address. A session is used again when its member is the next to try.
	retired map[string]retiredSession
	closed  bool
}

type retiredSession struct {
	session *wire.Session
	timer   *time.Timer
}

func (m *sessionManager) init(opts Options) {
	m.opts = opts
	m.retired = map[string]retiredSession{}
	m.wire = wire.Options{
		Hello:    opts.Hello,
		Handler:  func(*wire.Session, *wirepb.Envelope) {},
		OnClosed: m.remove,
		TLS:      opts.TLS,
		Scope:    opts.Scope,
		Log:      opts.Log,
	}
}

// session returns the current session, or opens one. One caller dials while the
// others wait for it.
func (m *sessionManager) session(ctx context.Context) (*wire.Session, error) {
	for {
		m.mu.Lock()
		switch {
		case m.closed:
			m.mu.Unlock()
			return nil, errClientClosed
		case m.current != nil:
			s := m.current
			m.mu.Unlock()
			return s, nil
		case m.dialing == nil:
			address := m.nextAddress()
			if s := m.reuseRetired(address); s != nil {
				m.mu.Unlock()
				return s, nil
			}
			m.dialing = make(chan struct{})
			m.mu.Unlock()
			return m.dial(ctx, address)
		}
		dialing := m.dialing
		m.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// setAddresses replaces the addresses to dial. At least one is required.
func (m *sessionManager) setAddresses(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.opts.Addresses = addresses
}

// nextAddress returns the address to dial. The caller holds mu.
func (m *sessionManager) nextAddress() string {
	if hint := m.leaderHint; hint != "" {
		m.leaderHint = ""
		return hint
	}
	address := m.opts.Addresses[m.nextIndex%len(m.opts.Addresses)]
	m.nextIndex++
	return address
}

// reuseRetired makes the retired session with a member the current one and
// returns it. It returns nil if there is none. The caller holds mu.
func (m *sessionManager) reuseRetired(address string) *wire.Session {
	r, ok := m.retired[address]
	if !ok || !r.timer.Stop() {
		return nil
	}
	delete(m.retired, address)
	m.current = r.session
	m.address = address
	return r.session
}

func (m *sessionManager) dial(ctx context.Context, address string) (*wire.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s, err := wire.Dial(ctx, address, m.wire)
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.dialing)
	m.dialing = nil
	if err != nil {
		return nil, err
	}
	if m.closed {
		s.Close()
		return nil, errClientClosed
	}
	s.Start()
	m.current = s
	m.address = address
	return s, nil
}

// redirect stops using the session with a member that is not the leader.
// Requests in flight on it still get their replies. leader is the address of
// the leader, or empty.
func (m *sessionManager) redirect(s *wire.Session, leader string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current != s {
		return
	}
	if leader == m.address {
		leader = ""
	}
	m.leaderHint = leader
	m.current = nil
	m.retired[m.address] = retiredSession{s, time.AfterFunc(retiredSessionTimeout, s.Close)}
}

// remove removes a session and closes it.
func (m *sessionManager) remove(s *wire.Session) {
	m.mu.Lock()
	if m.current == s {
		m.current = nil
	}
	for address, r := range m.retired {
		if r.session == s {
			r.timer.Stop()
			delete(m.retired, address)
		}
	}
	m.mu.Unlock()
	s.Close()
}

func (m *sessionManager) close() {
	m.mu.Lock()
	m.closed = true
	open := []*wire.Session{}
	if m.current != nil {
		open = append(open, m.current)
	}
	for _, r := range m.retired {
		open = append(open, r.session)
	}
	m.mu.Unlock()
	for _, s := range open {
		m.remove(s)
	}
}

// unexpectedReply returns the error for a reply whose kind does not match the
// request.
func unexpectedReply(reply *wirepb.Envelope) error {
	return eris.Wrapf(ErrUnknownOutcome, "unexpected reply of type %T", reply.GetBody())
}
