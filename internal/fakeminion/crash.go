package fakeminion

import (
	"net"
	"net/http"
	"time"
)

// relistenBackoff is the pause between attempts to open the listener again.
const relistenBackoff = 5 * time.Millisecond

// serve serves requests on a listener until the minion crashes or is stopped.
func (m *Minion) serve(l net.Listener) {
	server := &http.Server{Handler: m.routes(), ReadHeaderTimeout: readHeaderTimeout}
	m.mu.Lock()
	m.server = server
	m.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

// takeServer returns the running server, which the caller closes, or nil while there
// is none.
func (m *Minion) takeServer() *http.Server {
	m.mu.Lock()
	defer m.mu.Unlock()
	server := m.server
	m.server = nil
	return server
}

// crash closes the listener and all connections at once, so that no running task has
// a result. The minion listens again at its address after the given time. A crash
// while the minion is down changes nothing.
func (m *Minion) crash(down time.Duration) {
	server := m.takeServer()
	if server == nil {
		return
	}
	m.restarts.Add(1)
	_ = server.Close()
	go func() {
		defer m.restarts.Done()
		m.comeBack(down)
	}()
}

// comeBack serves again after the given time, unless the minion is stopped first.
func (m *Minion) comeBack(down time.Duration) {
	for m.pause(down) {
		l, err := net.Listen("tcp", m.address)
		if err == nil {
			m.serve(l)
			return
		}
		down = relistenBackoff
	}
}

// pause waits. It returns false if the minion is stopped first.
func (m *Minion) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-m.stopped:
		return false
	}
}
