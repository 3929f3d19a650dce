// Package directory keeps a process connected to every control member and
// gathers what they tell: who serves, and the newest desired configuration.
// It needs no leader, and goes on with what it knows while control is away.
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
	redialFirst = 50 * time.Millisecond
	redialMost  = 500 * time.Millisecond
	// SessionIdle closes a session with a member that went silent, early enough
	// that a change reaches the process through another in time.
	SessionIdle = 1500 * time.Millisecond
	// SessionHeartbeat keeps a quiet session alive, in both directions.
	SessionHeartbeat = 500 * time.Millisecond
	// forgetAfter is how long a member that no other lists any more, and that
	// does not answer, is still dialed.
	forgetAfter = 30 * time.Second
)

// listGap is the shortest time between two calls of Changed for processes that
// join and leave; documents are told at once.
const listGap = 25 * time.Millisecond

// Options are the settings of a Client.
type Options struct {
	// Seeds are the session addresses to begin with.
	Seeds []string
	Wire  wire.Options
	// Announce returns what the process tells of itself.
	Announce func() *wirepb.Announce
	// Changed is called after updates, from one goroutine at a time.
	Changed func(View)
	Log     logr.Logger
}

// View is the union of what the control members tell.
type View struct {
	Processes []*wirepb.Announce
	// Document is the highest version heard of, or nil.
	Document *wirepb.Document
}

// Client keeps the sessions. It is safe for concurrent use.
type Client struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	members  map[string]*member
	document *wirepb.Document
	// due: a call of Changed for the list of processes is on its way.
	due bool
	// publish orders calls of Changed, and announcing what is announced.
	publish, announcing sync.Mutex
}

type member struct {
	address string
	seed    bool
	// processes are those connected to it, and peers the members that it lists.
	processes map[wirepb.ProcessKey]*wirepb.Announce
	peers     []string
	// session is the present one, or nil.
	session *wire.Session
	// lost is when its session ended; zero while it lasts.
	lost time.Time
}

// Start begins to dial the seeds.
func Start(opts Options) *Client {
	c := &Client{opts: opts, members: map[string]*member{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range opts.Seeds {
		c.add(address, true)
	}
	return c
}

// Reseed adds addresses to begin with, such as those of changed settings.
func (c *Client) Reseed(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range seeds {
		c.add(address, true)
	}
}

// Close ends the sessions.
func (c *Client) Close() {
	c.cancel()
	c.done.Wait()
}

// add dials a member that is new. The lock is held.
func (c *Client) add(address string, seed bool) {
	if m := c.members[address]; m != nil {
		m.seed = m.seed || seed
		return
	}
	if c.ctx.Err() != nil {
		return
	}
	m := &member{address: address, seed: seed, lost: time.Now()}
	c.members[address] = m
	c.done.Add(1)
	go c.keep(m)
}

// keep dials a member again whenever its session has ended.
func (c *Client) keep(m *member) {
	defer c.done.Done()
	wait := redialFirst
	for c.ctx.Err() == nil && !c.forget(m) {
		began := time.Now()
		c.serve(m)
		if time.Since(began) > redialMost {
			wait = redialFirst
		}
		if !sleep.For(c.ctx, wait/2+rand.N(wait/2)) {
			return
		}
		wait = min(2*wait, redialMost)
	}
}

// forget drops a member that is gone for good.
func (c *Client) forget(m *member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.seed || time.Since(m.lost) < forgetAfter || c.listed(m.address) {
		return false
	}
	delete(c.members, m.address)
	return true
}

// listed tells that a connected member names an address. The lock is held.
func (c *Client) listed(address string) bool {
	for _, m := range c.members {
		if m.lost.IsZero() && slices.Contains(m.peers, address) {
			return true
		}
	}
	return false
}

// serve keeps one session until it ends.
func (c *Client) serve(m *member) {
	opts := c.opts.Wire
	opts.Connect, opts.Heartbeat, opts.Idle = wire.QuickConnect, SessionHeartbeat, SessionIdle
	opts.PatientIdle = true
	opts.Handler = func(_ *wire.Session, e *wirepb.Envelope) {
		if update := e.GetDirectoryUpdate(); update != nil {
			c.take(m, update)
		}
	}
	s, err := wire.Dial(c.ctx, m.address, opts)
	if err != nil {
		return
	}
	s.Start()
	c.opts.Log.Info("control member connected", "address", m.address)
	c.connected(m, s)
	c.announceOn(s)
	select {
	case <-s.Done():
	case <-c.ctx.Done():
		s.Close()
	}
	c.disconnected(m)
	c.opts.Log.Info("control member lost", "address", m.address)
}

func (c *Client) connected(m *member, s *wire.Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.session, m.lost = s, time.Time{}
	m.processes = map[wirepb.ProcessKey]*wirepb.Announce{}
}

func (c *Client) disconnected(m *member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.session, m.lost = nil, time.Now()
	m.processes, m.peers = nil, nil
}

// announceOn tells what the process says of itself now. The order in which
// announcements are made is that in which they are sent.
func (c *Client) announceOn(sessions ...*wire.Session) {
	c.announcing.Lock()
	defer c.announcing.Unlock()
	announce := c.opts.Announce()
	announce.KnownVersion = c.version()
	e := &wirepb.Envelope{Body: &wirepb.Envelope_Announce{Announce: announce}}
	for _, s := range sessions {
		_ = s.Send(wire.LaneUrgent, e) // a session that ended is told on the next
	}
}

// Announce tells all members anew what the process says of itself.
func (c *Client) Announce() { c.announceOn(c.sessions()...) }

// sessions are those with the members connected now.
func (c *Client) sessions() []*wire.Session {
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

func (c *Client) version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document.GetVersion()
}

// take keeps an update and tells of the new view: of a newer document at once,
// of processes within listGap.
func (c *Client) take(m *member, update *wirepb.DirectoryUpdate) {
	if c.merge(m, update) {
		c.tell()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.due || len(update.Processes) == 0 && len(update.Left) == 0 {
		return
	}
	c.due = true
	time.AfterFunc(listGap, c.tell)
}

// tell calls Changed with the present view.
func (c *Client) tell() {
	c.publish.Lock()
	defer c.publish.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	c.opts.Changed(c.view())
}

// merge takes an update in and tells whether it brought a newer document. A
// lower version than the one known is left alone.
func (c *Client) merge(m *member, update *wirepb.DirectoryUpdate) (newer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.session == nil {
		return false // its session has ended meanwhile
	}
	for _, p := range update.Processes {
		m.processes[p.Key()] = p
	}
	for _, p := range update.Left {
		delete(m.processes, p.Key())
	}
	m.peers = update.Members
	for _, address := range update.Members {
		c.add(address, false)
	}
	newer = update.Document.GetVersion() > c.document.GetVersion()
	if newer {
		c.document = update.Document
	}
	return newer
}

// view is the union of what the members connected now tell.
func (c *Client) view() View {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due = false
	processes := map[wirepb.ProcessKey]*wirepb.Announce{}
	for _, m := range c.members {
		for key, p := range m.processes {
			if known := processes[key]; known == nil || known.Service == "" {
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

// Members are the session addresses of the members known, connected ones
// first.
func (c *Client) Members() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var up, down []string
	for address, m := range c.members {
		if m.lost.IsZero() {
			up = append(up, address)
			continue
		}
		down = append(down, address)
	}
	slices.Sort(up)
	slices.Sort(down)
	return append(up, down...)
}
