// Package directory keeps a process connected to every control member and
// gathers what they tell: who serves, and the newest desired configuration.
// It needs no leader, and goes on with what it knows while control is away.
package directory

import (
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

// Options are the settings of a Client.
type Options struct {
	// Seeds are the session addresses to begin with.
	Seeds []string
	Wire  wire.Options
	// Announce returns what the process tells of itself.
	Announce func() *wirepb.Announce
	// Changed is called after each update, from one goroutine at a time.
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
	// publish orders calls of Changed.
	publish sync.Mutex
}

type member struct {
	address string
	seed    bool
	// last is what it told last; nil before.
	last *wirepb.DirectoryUpdate
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
		if m.lost.IsZero() && slices.Contains(m.last.GetMembers(), address) {
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
	c.setLost(m, time.Time{})
	announce := c.opts.Announce()
	announce.KnownVersion = c.version()
	_ = s.Send(wire.LaneUrgent, &wirepb.Envelope{Body: &wirepb.Envelope_Announce{Announce: announce}})
	select {
	case <-s.Done():
	case <-c.ctx.Done():
		s.Close()
	}
	c.setLost(m, time.Now())
	c.opts.Log.Info("control member lost", "address", m.address)
}

func (c *Client) setLost(m *member, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.lost = at
	if !at.IsZero() {
		m.last = nil
	}
}

func (c *Client) version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document.GetVersion()
}

// take keeps an update and tells of the new view. A lower document version
// than the one known is left alone.
func (c *Client) take(m *member, update *wirepb.DirectoryUpdate) {
	c.publish.Lock()
	defer c.publish.Unlock()
	c.opts.Changed(c.merge(m, update))
}

func (c *Client) merge(m *member, update *wirepb.DirectoryUpdate) View {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.last = update
	if update.Document.GetVersion() > c.document.GetVersion() {
		c.document = update.Document
	}
	for _, address := range update.Members {
		c.add(address, false)
	}
	processes := map[string]*wirepb.Announce{}
	for _, other := range c.members {
		for _, p := range other.last.GetProcesses() {
			processes[p.Role+" "+p.Name+" "+p.Address] = p
		}
	}
	keys := slices.Sorted(maps.Keys(processes))
	view := View{Document: c.document}
	for _, key := range keys {
		view.Processes = append(view.Processes, processes[key])
	}
	return view
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
