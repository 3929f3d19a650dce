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
	// retireAfter is how long a session that leads to no leader is kept for
	// the requests in flight on it.
	retireAfter = 3 * time.Second
)

// errClientClosed is returned after Close.
var errClientClosed = errors.New("controlclient: closed")

// links keeps the one session that requests use.
type links struct {
	opts Options
	wire wire.Options

	mu      sync.Mutex
	current *wire.Session
	address string // of current
	dialing chan struct{}
	hint    string // the address to try first
	next    int    // the member to try after it
	// retired are sessions that led to no leader, by address. They are used
	// again when the search comes back to their member.
	retired map[string]retired
	closed  bool
}

type retired struct {
	session *wire.Session
	timer   *time.Timer
}

func (l *links) init(opts Options) {
	l.opts = opts
	l.retired = map[string]retired{}
	l.wire = wire.Options{
		Hello:   opts.Hello,
		Handler: func(*wire.Session, *wirepb.Envelope) {},
		Closed:  l.drop,
		TLS:     opts.TLS,
		Scope:   opts.Scope,
		Log:     opts.Log,
	}
}

// session returns the session in use and opens one when there is none. One
// caller dials; the others wait for it.
func (l *links) session(ctx context.Context) (*wire.Session, error) {
	for {
		l.mu.Lock()
		switch {
		case l.closed:
			l.mu.Unlock()
			return nil, errClientClosed
		case l.current != nil:
			s := l.current
			l.mu.Unlock()
			return s, nil
		case l.dialing == nil:
			address := l.pick()
			if s := l.revive(address); s != nil {
				l.mu.Unlock()
				return s, nil
			}
			l.dialing = make(chan struct{})
			l.mu.Unlock()
			return l.dial(ctx, address)
		}
		dialing := l.dialing
		l.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// setAddresses replaces the members to try. At least one must be given.
func (l *links) setAddresses(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opts.Addresses = addresses
}

// pick chooses the member to dial.
func (l *links) pick() string {
	if hint := l.hint; hint != "" {
		l.hint = ""
		return hint
	}
	address := l.opts.Addresses[l.next%len(l.opts.Addresses)]
	l.next++
	return address
}

// revive uses a retired session to a member again; nil if there is none.
func (l *links) revive(address string) *wire.Session {
	r, ok := l.retired[address]
	if !ok || !r.timer.Stop() {
		return nil
	}
	delete(l.retired, address)
	l.current = r.session
	l.address = address
	return r.session
}

func (l *links) dial(ctx context.Context, address string) (*wire.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s, err := wire.Dial(ctx, address, l.wire)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialing)
	l.dialing = nil
	if err != nil {
		return nil, err
	}
	if l.closed {
		s.Close()
		return nil, errClientClosed
	}
	s.Start()
	l.current = s
	l.address = address
	return s, nil
}

// redirect leaves a member that does not lead. Requests in flight on its
// session are still answered.
func (l *links) redirect(s *wire.Session, leader string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != s {
		return
	}
	if leader == l.address {
		leader = ""
	}
	l.hint = leader
	l.current = nil
	l.retired[l.address] = retired{s, time.AfterFunc(retireAfter, s.Close)}
}

// drop forgets a session and closes it.
func (l *links) drop(s *wire.Session) {
	l.mu.Lock()
	if l.current == s {
		l.current = nil
	}
	for address, r := range l.retired {
		if r.session == s {
			r.timer.Stop()
			delete(l.retired, address)
		}
	}
	l.mu.Unlock()
	s.Close()
}

func (l *links) close() {
	l.mu.Lock()
	l.closed = true
	open := []*wire.Session{}
	if l.current != nil {
		open = append(open, l.current)
	}
	for _, r := range l.retired {
		open = append(open, r.session)
	}
	l.mu.Unlock()
	for _, s := range open {
		l.drop(s)
	}
}

// unexpected is the error for a reply of another kind than the request's.
func unexpected(reply *wirepb.Envelope) error {
	return eris.Wrapf(ErrUnknownOutcome, "unexpected reply %T", reply.GetBody())
}
