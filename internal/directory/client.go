// Package directory keeps a process connected to every control member and
// merges what they report: the processes that are connected to them and the
// version of the newest configuration document, which it requests from one of them. It
// needs no leader. While no member is reachable, the last view stays in use.
package directory

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
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
	// UsesDocuments is set if the process needs configuration documents.
	UsesDocuments bool
	// OnLastMinion, if not nil, is called with the minion that a member remembers
	// of this process.
	OnLastMinion func(*wirepb.MinionRecord)
	// SharedJobs, if not nil, gets the messages about shared jobs.
	SharedJobs SharedJobsHandler
	Log        logr.Logger
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

	// documentOffered wakes the goroutine that requests documents.
	documentOffered chan struct{}

	mu       sync.Mutex
	members  map[string]*member
	document *wirepb.Document
	// notifyScheduled is true while a delayed call of OnChange is pending.
	notifyScheduled bool
	// notifyMu serializes the calls of OnChange. announceMu serializes
	// announcements, so that they are sent in the order in which they are made.
	notifyMu, announceMu sync.Mutex
}

// Start returns a client that dials the seeds.
func Start(opts Options) *Client {
	c := &Client{opts: opts, started: time.Now(), members: map[string]*member{}, documentOffered: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if opts.UsesDocuments {
		c.wg.Go(c.fetchDocuments)
	}
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

// sendAnnounce sends the current announcement on the given sessions.
// Announcements are sent in the order in which they are made.
func (c *Client) sendAnnounce(sessions ...*wire.Session) {
	c.announceMu.Lock()
	defer c.announceMu.Unlock()
	announce := c.opts.Announce()
	announce.KnownVersion, announce.FetchesDocuments = c.documentVersion(), true
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
	c.offer(m, update.DocumentVersion)
	return c.setDocument(update.Document)
}

// setDocument takes a document over and reports whether it is newer than the
// current one. The caller holds mu.
func (c *Client) setDocument(d *wirepb.Document) (newer bool) {
	newer = d.GetVersion() > c.document.GetVersion()
	if newer {
		c.document = d
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
