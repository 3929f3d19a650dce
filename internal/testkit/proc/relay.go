package proc

import (
	"io"
	"net"
	"sync"
	"time"
)

// Relay is a loopback link to one process. It keeps its address while the
// process behind it changes its own, and it can go silent like a cut cable:
// connections stay open and nothing passes, either way or one way.
type Relay struct {
	listener net.Listener

	mu      sync.Mutex
	flow    *sync.Cond
	target  string
	silent  [directions]bool
	delay   time.Duration
	closed  bool
	members map[net.Conn]struct{}
}

// Direction is a way through a relay.
type Direction uint8

// The directions: Forth is from those who connect to the process behind.
const (
	Forth Direction = iota
	Back

	directions = 2
)

// NewRelay listens on an address; port 0 lets the kernel choose.
func NewRelay(address string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, members: map[net.Conn]struct{}{}}
	r.flow = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Point sends new connections to another address.
func (r *Relay) Point(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// SetSilent stops or resumes everything that passes.
func (r *Relay) SetSilent(silent bool) {
	r.SetSilentIn(Forth, silent)
	r.SetSilentIn(Back, silent)
}

// SetSilentIn stops or resumes what passes in one direction.
func (r *Relay) SetSilentIn(d Direction, silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent[d] = silent
	r.flow.Broadcast()
}

// SetDelay holds each piece of data up before it passes.
func (r *Relay) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// Reset ends all open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.members {
		_ = c.Close()
	}
}

// Close ends the relay with all that passes.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.flow.Broadcast()
	for c := range r.members {
		_ = c.Close()
	}
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.join(c)
	}
}

// join connects an accepted connection with the target.
func (r *Relay) join(near net.Conn) {
	target, _, ok := r.pass(Forth)
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
	go r.copy(Forth, near, far)
	r.copy(Back, far, near)
}

// pass waits while the link is silent; ok is false when it was closed.
func (r *Relay) pass(d Direction) (target string, delay time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.silent[d] && !r.closed {
		r.flow.Wait()
	}
	return r.target, r.delay, !r.closed
}

func (r *Relay) keep(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.members[c] = struct{}{}
	}
}

func (r *Relay) copy(d Direction, from, to net.Conn) {
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
		_, delay, ok := r.pass(d)
		if !ok {
			return
		}
		time.Sleep(delay)
		if _, werr := to.Write(buf[:n]); werr != nil {
			return
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
