// Package directory keeps a process connected to every control member and
// merges what they report: the processes that are connected to them and the
// newest configuration document. It needs no leader. While no member is
// reachable, the last view stays in use.
package directory

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

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
	// startBackoff is the longest pause between two dials in the start window.
	startBackoff = 30 * time.Millisecond
	// startConnectTimeout is the connect timeout in the start window. A connection
	// request to a host without power gets no reply.
	startConnectTimeout = 50 * time.Millisecond
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

// processListDelay is the delay between a change of the process list and the
// call of OnChange. It combines the changes of that time into one call. A new
// document is passed on without a delay.
const processListDelay = 25 * time.Millisecond

// Options configures a Client.
type Options struct {
	// Seeds are the session addresses of the members to dial first.
	Seeds []string
	Wire  wire.Options
	// Announce returns the current announcement of the process.
	Announce func() *wirepb.Announce
	// OnChange is called after updates. Calls do not overlap.
	OnChange func(View)
	// OnLastMinion, if not nil, is called with the minion that a member remembers
	// of this process.
	OnLastMinion func(*wirepb.MinionRecord)
	Log          logr.Logger
}

// View is the union of what the connected control members report.
type View struct {
	Processes []*wirepb.Announce
	// Document is the newest document received so far, or nil.
	Document *wirepb.Document
}

// Client keeps a session with each control member and merges their updates into
// a View. It is safe for concurrent use.
type Client struct {
	opts    Options
	started time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex
	members  map[string]*member
	document *wirepb.Document
	// notifyScheduled is true while a delayed call of OnChange is pending.
	notifyScheduled bool
	// notifyMu serializes the calls of OnChange. announceMu serializes
	// announcements, so that they are sent in the order in which they are made.
	notifyMu, announceMu sync.Mutex
}

type member struct {
	address string
	seed    bool
	// processes are the processes connected to this member.
	processes map[wirepb.ProcessKey]*wirepb.Announce
	// listedMembers are the session addresses of the members that it lists.
	listedMembers []string
	// session is the current session, or nil.
	session *wire.Session
	// disconnectedAt is when the last session ended, or when the member was
	// added. It is zero while connected.
	disconnectedAt time.Time
}

// Start returns a client that dials the seeds.
func Start(opts Options) *Client {
	c := &Client{opts: opts, started: time.Now(), members: map[string]*member{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range opts.Seeds {
		c.addMember(address, true)
	}
	return c
}

// AddSeeds adds seeds, such as those of changed settings. Earlier seeds are kept.
func (c *Client) AddSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range seeds {
		c.addMember(address, true)
	}
}

// Close ends the sessions and waits for their goroutines.
func (c *Client) Close() {
	c.cancel()
	c.wg.Wait()
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
	backoff := minBackoff
	for c.ctx.Err() == nil && !c.removeUnlisted(m) {
		start := time.Now()
		c.runSession(m)
		if time.Since(start) > maxBackoff {
			backoff = minBackoff
		}
		if c.inStartWindow() {
			backoff = startBackoff
		}
		if !sleep.For(c.ctx, backoff/2+rand.N(backoff/2)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Client) inStartWindow() bool { return time.Since(c.started) < startWindow }

func (c *Client) connectTimeout() time.Duration {
	if c.inStartWindow() {
		return startConnectTimeout
	}
	return wire.ShortConnectTimeout
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
	opts.ConnectTimeout, opts.HeartbeatInterval, opts.IdleTimeout = c.connectTimeout(), SessionHeartbeatInterval, SessionIdleTimeout
	opts.IgnoreLocalStalls = true
	opts.Handler = func(_ *wire.Session, e *wirepb.Envelope) {
		if update := e.GetDirectoryUpdate(); update != nil {
			c.handleUpdate(m, update)
		}
	}
	s, err := wire.Dial(c.ctx, m.address, opts)
	if err != nil {
		return
	}
	s.Start()
	c.opts.Log.Info("control member connected", "address", m.address)
	c.setConnected(m, s)
	c.sendAnnounce(s)
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
	m.session, m.disconnectedAt = s, time.Time{}
	m.processes = map[wirepb.ProcessKey]*wirepb.Announce{}
}

func (c *Client) setDisconnected(m *member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.session, m.disconnectedAt = nil, time.Now()
	m.processes, m.listedMembers = nil, nil
}

// sendAnnounce sends the current announcement on the given sessions.
// Announcements are sent in the order in which they are made.
func (c *Client) sendAnnounce(sessions ...*wire.Session) {
	c.announceMu.Lock()
	defer c.announceMu.Unlock()
	announce := c.opts.Announce()
	announce.KnownVersion = c.documentVersion()
	e := &wirepb.Envelope{Body: &wirepb.Envelope_Announce{Announce: announce}}
	for _, s := range sessions {
		_ = s.Send(wire.LaneUrgent, e) // after an error the next session announces again
	}
}

// Announce sends the current announcement to all connected members.
func (c *Client) Announce() { c.sendAnnounce(c.openSessions()...) }

// openSessions returns the sessions with the connected members.
func (c *Client) openSessions() []*wire.Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []*wire.Session
	for _, m := range c.members {
		if m.session != nil {
			open = append(open, m.session)
		}
	}
	return open
}

func (c *Client) documentVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document.GetVersion()
}

// handleUpdate applies an update and calls OnChange: at once for a newer
// document, else after processListDelay for a changed process list.
func (c *Client) handleUpdate(m *member, update *wirepb.DirectoryUpdate) {
	if update.LastMinion != nil && c.opts.OnLastMinion != nil {
		c.opts.OnLastMinion(update.LastMinion)
	}
	if c.applyUpdate(m, update) {
		c.notify()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.notifyScheduled || len(update.Processes) == 0 && len(update.Left) == 0 {
		return
	}
	c.notifyScheduled = true
	time.AfterFunc(processListDelay, c.notify)
}

// notify calls OnChange with the current view.
func (c *Client) notify() {
	c.notifyMu.Lock()
	defer c.notifyMu.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	c.opts.OnChange(c.buildView())
}

// applyUpdate applies an update and reports whether it brought a newer
// document. A document with a lower version than the current one is ignored.
func (c *Client) applyUpdate(m *member, update *wirepb.DirectoryUpdate) (newer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.session == nil {
		return false // the session has ended meanwhile
	}
	for _, p := range update.Processes {
		m.processes[p.Key()] = p
	}
	for _, p := range update.Left {
		delete(m.processes, p.Key())
	}
	m.listedMembers = update.Members
	for _, address := range update.Members {
		c.addMember(address, false)
	}
	newer = update.Document.GetVersion() > c.document.GetVersion()
	if newer {
		c.document = update.Document
	}
	return newer
}

// buildView returns the union of what the connected members report. Of two
// announcements of one process, the one that names its service is preferred.
func (c *Client) buildView() View {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifyScheduled = false
	processes := map[wirepb.ProcessKey]*wirepb.Announce{}
	for _, m := range c.members {
		for key, p := range m.processes {
			if present := processes[key]; present == nil || present.Service == "" {
				processes[key] = p
			}
		}
	}
	keys := slices.SortedFunc(maps.Keys(processes), compareKeys)
	view := View{Document: c.document}
	for _, key := range keys {
		view.Processes = append(view.Processes, processes[key])
	}
	return view
}

func compareKeys(a, b wirepb.ProcessKey) int {
	return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Address, b.Address))
}

// Members returns the session addresses of all known members, connected ones
// first.
func (c *Client) Members() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var connected, disconnected []string
	for address, m := range c.members {
		if m.disconnectedAt.IsZero() {
			connected = append(connected, address)
			continue
		}
		disconnected = append(disconnected, address)
	}
	slices.Sort(connected)
	slices.Sort(disconnected)
	return append(connected, disconnected...)
}
