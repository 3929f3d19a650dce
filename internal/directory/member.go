package directory

import (
	"slices"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/sleep"
	"endivewing/internal/wire"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// startWindow is how long after its start a client dials members faster.
	// After a power loss all hosts return within about a second, and a process
	// serves nobody before it has found a member.
	startWindow = 3 * time.Second
	// startPause is the longest pause between two dials in the start window.
	startPause = 30 * time.Millisecond
	// startConnectInterval is the connect interval in the start window. A connection
	// request to a host without power gets no reply.
	startConnectInterval = 50 * time.Millisecond
	// SessionIdleTimeout is the idle timeout of a session with a member. It is short
	// enough that a change reaches the process in time through another member.
	SessionIdleTimeout = 1500 * time.Millisecond
	// SessionHeartbeatInterval is the heartbeat interval of these sessions, in both
	// directions.
	SessionHeartbeatInterval = 500 * time.Millisecond
	// unlistedMemberTimeout is the time for which a disconnected member is
	// still dialed although no connected member lists it.
	unlistedMemberTimeout = 30 * time.Second
)

type member struct {
	address string
	seed    bool
	// processes are the processes connected to this member.
	processes map[wirepb.ProcessKey]*wirepb.Announce
	// listedMembers are the session addresses of the members that it lists.
	listedMembers []string
	// offeredVersion is the version of the newest document that this member offered in
	// the current session.
	offeredVersion uint64
	// session is the current session, or nil.
	session *wire.Session
	// disconnectedAt is when the last session ended, or when the member was
	// added. It is zero while connected.
	disconnectedAt time.Time
}

// addMember starts to dial a member unless it is already known. The caller
// holds mu.
func (c *Client) addMember(address string, seed bool) {
	if m := c.members[address]; m != nil {
		m.seed = m.seed || seed
		return
	}
	if c.ctx.Err() != nil {
		return
	}
	m := &member{address: address, seed: seed, disconnectedAt: time.Now()}
	c.members[address] = m
	c.wg.Add(1)
	go c.maintainSession(m)
}

// maintainSession dials a member again, with a backoff, whenever its session
// has ended.
func (c *Client) maintainSession(m *member) {
	defer c.wg.Done()
	backoff := sleep.Backoff{Min: minBackoff, Max: maxBackoff}
	startBackoff := sleep.Backoff{Min: startPause, Max: startPause}
	for c.ctx.Err() == nil && !c.removeUnlisted(m) {
		start := time.Now()
		c.runSession(m)
		if time.Since(start) > maxBackoff {
			backoff.Reset()
		}
		next := &backoff
		if c.inStartWindow() {
			next = &startBackoff
		}
		if !next.Wait(c.ctx) {
			return
		}
	}
}

func (c *Client) inStartWindow() bool { return time.Since(c.started) < startWindow }

func (c *Client) connectInterval() time.Duration {
	if c.inStartWindow() {
		return startConnectInterval
	}
	return wire.ShortConnectInterval
}

// removeUnlisted removes a member that is not a seed, that no connected member
// lists and that has been disconnected for unlistedMemberTimeout. It reports
// whether it did.
func (c *Client) removeUnlisted(m *member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.seed || time.Since(m.disconnectedAt) < unlistedMemberTimeout || c.isListed(m.address) {
		return false
	}
	delete(c.members, m.address)
	return true
}

// isListed reports whether a connected member lists the address. The caller
// holds mu.
func (c *Client) isListed(address string) bool {
	for _, m := range c.members {
		if m.disconnectedAt.IsZero() && slices.Contains(m.listedMembers, address) {
			return true
		}
	}
	return false
}

// runSession opens a session with a member and returns when it has ended.
func (c *Client) runSession(m *member) {
	opts := c.opts.Wire
	opts.ConnectInterval, opts.HeartbeatInterval, opts.IdleTimeout = c.connectInterval(), SessionHeartbeatInterval, SessionIdleTimeout
	opts.IgnoreLocalStalls = true
	opts.Handler = func(_ *wire.Session, e *wirepb.Envelope) {
		if update := e.GetDirectoryUpdate(); update != nil {
			c.handleUpdate(m, update)
		}
	}
	c.handleSharedJobs(&opts)
	began := time.Now()
	s, err := wire.Dial(c.ctx, m.address, opts)
	if err != nil {
		c.opts.Log.Info("control member not connected", "address", m.address, "took_ms", time.Since(began).Milliseconds(), "error", err.Error())
		return
	}
	s.Start()
	c.opts.Log.Info("control member connected", "address", m.address)
	c.setConnected(m, s)
	c.sendAnnounce(s)
	c.memberConnected(s)
	select {
	case <-s.Done():
	case <-c.ctx.Done():
		s.Close()
	}
	c.setDisconnected(m)
	c.opts.Log.Info("control member lost", "address", m.address)
}

func (c *Client) setConnected(m *member, s *wire.Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.session, m.disconnectedAt, m.offeredVersion = s, time.Time{}, 0
	m.processes = map[wirepb.ProcessKey]*wirepb.Announce{}
}

func (c *Client) setDisconnected(m *member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.session, m.disconnectedAt = nil, time.Now()
	m.processes, m.listedMembers = nil, nil
}
