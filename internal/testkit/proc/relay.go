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
// directions. It can also break connections on the side of the clients only, so
// that the process doesn't learn of it.
type Relay struct {
	listener net.Listener

	mu           sync.Mutex
	stateChanged *sync.Cond // signals a change of silent or closed
	target       string
	silent       [directionCount]bool
	delay        time.Duration
	uplink       *Uplink // of data from the target; nil if it is not bounded
	closed       bool
	conns        map[net.Conn]side
	// orphans are the connections to the target whose client has been broken off.
	orphans map[net.Conn]struct{}
}

// side is the side of a relay that a connection belongs to.
type side struct {
	isClient bool
	// peer is the connection of the other side.
	peer net.Conn
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
	r := &Relay{listener: l, conns: map[net.Conn]side{}, orphans: map[net.Conn]struct{}{}}
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

// SetUplink bounds the data from the target process.
func (r *Relay) SetUplink(u *Uplink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.uplink = u
}

// uplinkOf returns the bound of a direction, or nil.
func (r *Relay) uplinkOf(d Direction) *Uplink {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d == FromTarget {
		return r.uplink
	}
	return nil
}

// CloseConnections closes all open connections. New connections are still accepted.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// BreakClients closes the connections of the clients and keeps those to the target
// open. What the target still sends on them is discarded.
func (r *Relay) BreakClients() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, s := range r.conns {
		if s.isClient {
			r.orphans[s.peer] = struct{}{}
			_ = c.Close()
		}
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

// track adds the two connections of a client to those that CloseConnections and
// Close close.
func (r *Relay) track(client, target net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[client] = side{isClient: true, peer: target}
	r.conns[target] = side{peer: client}
}

// isOrphan reports whether a connection is one to the target whose client has been
// broken off.
func (r *Relay) isOrphan(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.orphans[c]
	return ok
}

// release closes a connection and forgets it.
func (r *Relay) release(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	delete(r.orphans, c)
}

// copy copies data in one direction until an error, then closes both connections. An
// orphaned connection to the target stays open until the target closes it.
func (r *Relay) copy(d Direction, from, to net.Conn) {
	err := r.forward(d, from, to)
	switch {
	case d == ToTarget && r.isOrphan(to):
		r.release(from)
		return
	case d == FromTarget && r.isOrphan(from) && err != io.EOF:
		_, _ = io.Copy(io.Discard, from)
	}
	r.release(from)
	r.release(to)
}

// forward copies data in one direction until an error. The error is io.EOF if the
// sender closed its connection, or the relay was closed.
func (r *Relay) forward(d Direction, from, to net.Conn) error {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		_, delay, ok := r.waitWhileSilent(d)
		if !ok {
			return io.EOF
		}
		time.Sleep(delay)
		r.uplinkOf(d).pass(n)
		if _, writeErr := to.Write(buf[:n]); writeErr != nil {
			return writeErr
		}
		if err != nil {
			return err
		}
	}
}
