package wire

import (
	"crypto/tls"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Listener accepts sessions.
type Listener struct {
	opts  Options
	net   net.Listener
	meter *meter

	mu       sync.Mutex
	sessions map[*Session]struct{}
	closed   bool
}

// Listen opens a listener on a TCP address; port 0 lets the kernel choose.
// Serve must be called to accept sessions.
func Listen(address string, opts Options) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	if opts.TLS != nil {
		l = tls.NewListener(l, opts.TLS)
	}
	return &Listener{opts: opts, net: l, meter: newMeter(opts.Scope), sessions: map[*Session]struct{}{}}, nil
}

// Address is where the listener can be reached, with the real port.
func (l *Listener) Address() string { return l.net.Addr().String() }

// Serve accepts sessions until Close. Peers that do not fit are dropped and
// counted.
func (l *Listener) Serve() {
	for {
		conn, err := l.net.Accept()
		if err != nil {
			return
		}
		go l.admit(conn)
	}
}

func (l *Listener) admit(conn net.Conn) {
	opts := l.opts
	opts.Closed = func(s *Session) {
		l.forget(s)
		if l.opts.Closed != nil {
			l.opts.Closed(s)
		}
	}
	s, err := newSession(conn, opts, false)
	if err != nil {
		l.meter.dropped("bad_peer")
		l.opts.Log.V(1).Info("peer dropped", "remote", conn.RemoteAddr().String(), "error", err.Error())
		_ = conn.Close()
		return
	}
	if !l.remember(s) {
		s.Close()
		return
	}
	s.Start()
}

func (l *Listener) remember(s *Session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.sessions[s] = struct{}{}
	return true
}

func (l *Listener) forget(s *Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, s)
}

// Close stops accepting and ends all accepted sessions.
func (l *Listener) Close() {
	_ = l.net.Close()
	l.mu.Lock()
	l.closed = true
	open := make([]*Session, 0, len(l.sessions))
	for s := range l.sessions {
		open = append(open, s)
	}
	l.mu.Unlock()
	for _, s := range open {
		s.Close()
	}
}
