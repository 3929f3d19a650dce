package main

import (
	"net"
	"sync"
	"time"
)

// zoneDelay is the one-way delay between two zones of the site.
const zoneDelay = 1400 * time.Microsecond

// relay passes channels on to a target and delays all bytes by zoneDelay, both ways. It
// stands for the network between two zones.
type relay struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// cutUntil is when the present cut of the link ends. What is sent meanwhile arrives
	// then, as TCP delivers it.
	cutUntil time.Time
}

// cut cuts the link, both ways, for a while.
func (r *relay) cut(length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutUntil = time.Now().Add(length)
}

// due returns when bytes that are sent now arrive.
func (r *relay) due(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cutUntil.After(now) {
		now = r.cutUntil
	}
	return now.Add(zoneDelay)
}

func startRelay(address, target string) (*relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target}
	go r.accept()
	return r, nil
}

func (r *relay) close() { _ = r.listener.Close() }

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		go r.pass(in, out)
		go r.pass(out, in)
	}
}

// chunk is what was read at once, and when it is to be written.
type chunk struct {
	data []byte
	due  time.Time
}

func (r *relay) pass(from, to net.Conn) {
	queue := make(chan chunk, 1024)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, 32<<10)
			n, err := from.Read(buf)
			if n > 0 {
				queue <- chunk{buf[:n], r.due(time.Now())}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range queue {
		time.Sleep(time.Until(c.due))
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
}
