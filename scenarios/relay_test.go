package scenarios

import (
	"io"
	"net"
	"sync"
)

// relay is a loopback link to one process. It keeps its address while the
// process behind it changes its own, and it can go silent like a cut cable:
// connections stay open and nothing passes.
type relay struct {
	listener net.Listener

	mu      sync.Mutex
	flow    *sync.Cond
	target  string
	silent  bool
	closed  bool
	members map[net.Conn]struct{}
}

func newRelay() (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, members: map[net.Conn]struct{}{}}
	r.flow = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// point sends new connections to another address.
func (r *relay) point(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// setSilent stops or resumes everything that passes.
func (r *relay) setSilent(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
	r.flow.Broadcast()
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.flow.Broadcast()
	for c := range r.members {
		_ = c.Close()
	}
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.join(c)
	}
}

// join connects an accepted connection with the target.
func (r *relay) join(near net.Conn) {
	target, ok := r.pass()
	if !ok {
		_ = near.Close()
		return
	}
	far, err := net.Dial("tcp", target)
	if err != nil {
		_ = near.Close()
		return
	}
	r.keep(near, far)
	go r.copy(near, far)
	r.copy(far, near)
}

// pass waits while the link is silent; false when it was closed.
func (r *relay) pass() (target string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.silent && !r.closed {
		r.flow.Wait()
	}
	return r.target, !r.closed
}

func (r *relay) keep(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.members[c] = struct{}{}
	}
}

func (r *relay) copy(from, to net.Conn) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		r.mu.Lock()
		delete(r.members, from)
		delete(r.members, to)
		r.mu.Unlock()
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if _, ok := r.pass(); !ok {
			return
		}
		if _, werr := to.Write(buf[:n]); werr != nil {
			return
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
