package proc

import (
	"io"
	"net"
	"sync"
	"time"
)

// Relay is a TCP proxy on loopback in front of one process. Its address stays the
// same when the address of the process changes. A relay can be made silent, like
// a network partition: connections stay open, but no data passes in one or both
// directions.
type Relay struct {
	listener net.Listener

	mu           sync.Mutex
	stateChanged *sync.Cond // signals a change of silent or closed
	target       string
	silent       [directionCount]bool
	delay        time.Duration
	closed       bool
	conns        map[net.Conn]struct{}
}

// Direction is a direction of data through a relay.
type Direction uint8

const (
	// ToTarget is the direction from the clients to the target process.
	ToTarget Direction = iota
	// FromTarget is the direction from the target process to the clients.
	FromTarget

	directionCount = 2
)

// NewRelay returns a relay that listens on the address. With port 0 the kernel
// chooses the port.
func NewRelay(address string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, conns: map[net.Conn]struct{}{}}
	r.stateChanged = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetTarget sets the target address of new connections.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// SetSilent stops or resumes data in both directions.
func (r *Relay) SetSilent(silent bool) {
	r.SetDirectionSilent(ToTarget, silent)
	r.SetDirectionSilent(FromTarget, silent)
}

// SetDirectionSilent stops or resumes data in one direction.
func (r *Relay) SetDirectionSilent(d Direction, silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent[d] = silent
	r.stateChanged.Broadcast()
}

// SetDelay sets a delay before each chunk of data is forwarded.
func (r *Relay) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// CloseConnections closes all open connections. New connections are still accepted.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Close stops the relay and closes all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.stateChanged.Broadcast()
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.proxy(c)
	}
}

// proxy connects an accepted connection to the target and forwards data both ways
// until one side closes.
func (r *Relay) proxy(client net.Conn) {
	target, _, ok := r.waitWhileSilent(ToTarget)
	if !ok {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	r.track(client, server)
	go r.copy(ToTarget, client, server)
	r.copy(FromTarget, server, client)
}

// waitWhileSilent waits while the direction is silent. It returns the present
// target and delay; ok is false if the relay was closed.
func (r *Relay) waitWhileSilent(d Direction) (target string, delay time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.silent[d] && !r.closed {
		r.stateChanged.Wait()
	}
	return r.target, r.delay, !r.closed
}

// track adds connections to those that CloseConnections and Close close.
func (r *Relay) track(added ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range added {
		r.conns[c] = struct{}{}
	}
}

// copy copies data in one direction until an error, then closes both
// connections.
func (r *Relay) copy(d Direction, from, to net.Conn) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		r.mu.Lock()
		delete(r.conns, from)
		delete(r.conns, to)
		r.mu.Unlock()
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		_, delay, ok := r.waitWhileSilent(d)
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
