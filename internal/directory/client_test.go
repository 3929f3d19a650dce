package directory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

// member is a control member that tells what a test says.
type testMember struct {
	t        *testing.T
	listener *wire.Listener
	// heard are the announcements, with the session of each.
	heard chan heard
}

type heard struct {
	session  *wire.Session
	announce *wirepb.Announce
}

const hangGuard = 60 * time.Second

func startMember(t *testing.T, address string) *testMember {
	m := &testMember{t: t, heard: make(chan heard, 16)}
	listener, err := wire.Listen(address, wire.Options{
		Hello: func() *wirepb.Hello { return &wirepb.Hello{Role: "control", Cluster: "c"} },
		Handler: func(s *wire.Session, e *wirepb.Envelope) {
			if a := e.GetAnnounce(); a != nil {
				m.heard <- heard{s, a}
			}
		},
		Heartbeat: SessionHeartbeat, Idle: hangGuard, Log: logr.Discard(),
	})
	assert.NilError(t, err)
	m.listener = listener
	go listener.Serve()
	t.Cleanup(listener.Close)
	return m
}

// next waits for an announcement.
func (m *testMember) next() heard {
	select {
	case h := <-m.heard:
		return h
	case <-time.After(hangGuard):
		m.t.Fatal("no announcement")
		return heard{}
	}
}

func (h heard) tell(u *wirepb.DirectoryUpdate) {
	_ = h.session.Send(wire.LaneUrgent, &wirepb.Envelope{Body: &wirepb.Envelope_DirectoryUpdate{DirectoryUpdate: u}})
}

// watcher is a client whose views a test reads.
type watcher struct {
	*Client
	t     *testing.T
	views chan View
}

func watch(t *testing.T, seeds ...string) *watcher {
	w := &watcher{t: t, views: make(chan View, 64)}
	w.Client = Start(Options{
		Seeds:    seeds,
		Wire:     wire.Options{Hello: func() *wirepb.Hello { return &wirepb.Hello{Role: "dispatcher", Cluster: "c"} }, Log: logr.Discard()},
		Announce: func() *wirepb.Announce { return &wirepb.Announce{Role: "dispatcher", Name: "d"} },
		Changed:  func(v View) { w.views <- v },
		Log:      logr.Discard(),
	})
	t.Cleanup(w.Close)
	return w
}

// until reads views until one names just these processes, at a version.
func (w *watcher) until(version uint64, names ...string) {
	w.t.Helper()
	for {
		select {
		case v := <-w.views:
			if v.Document.GetVersion() == version && slices.Equal(namesOf(v), names) {
				return
			}
		case <-time.After(hangGuard):
			w.t.Fatalf("no view with version %d and %v", version, names)
		}
	}
}

func namesOf(v View) []string {
	var names []string
	for _, p := range v.Processes {
		names = append(names, p.Name)
	}
	return names
}

func runners(numbers ...int) []*wirepb.Announce {
	var all []*wirepb.Announce
	for _, n := range numbers {
		all = append(all, &wirepb.Announce{Role: "runner", Name: fmt.Sprint("r", n), Address: fmt.Sprint("10.0.0.", n, ":1")})
	}
	return all
}

// TestViewFollowsWhatMembersTell: a member tells only what has changed; the view
// is the union of two members.
func TestViewFollowsWhatMembersTell(t *testing.T) {
	one, two := startMember(t, "127.0.0.1:0"), startMember(t, "127.0.0.1:0")
	w := watch(t, one.listener.Address(), two.listener.Address())
	atOne, atTwo := one.next(), two.next()
	atOne.tell(&wirepb.DirectoryUpdate{Processes: runners(1, 2)})
	w.until(0, "r1", "r2")
	atTwo.tell(&wirepb.DirectoryUpdate{Processes: runners(2, 3)})
	w.until(0, "r1", "r2", "r3")
	atOne.tell(&wirepb.DirectoryUpdate{Left: runners(1, 2)})
	w.until(0, "r2", "r3")
	atTwo.tell(&wirepb.DirectoryUpdate{Left: runners(2), Processes: runners(4)})
	w.until(0, "r3", "r4")
}

// TestProcessThatLeftStaysAwayAfterAMembersRestart: what a member knew before it
// restarted is forgotten with its session.
func TestProcessThatLeftStaysAwayAfterAMembersRestart(t *testing.T) {
	one := startMember(t, "127.0.0.1:0")
	address := one.listener.Address()
	w := watch(t, address)
	one.next().tell(&wirepb.DirectoryUpdate{Processes: runners(1, 2)})
	w.until(0, "r1", "r2")
	one.listener.Close()
	again := startMember(t, address)
	again.next().tell(&wirepb.DirectoryUpdate{Processes: runners(2)})
	w.until(0, "r2")
}

// TestOlderDocumentIsLeftAlone: a member that lags behind tells an older
// document after a newer one.
func TestOlderDocumentIsLeftAlone(t *testing.T) {
	one, two := startMember(t, "127.0.0.1:0"), startMember(t, "127.0.0.1:0")
	w := watch(t, one.listener.Address(), two.listener.Address())
	atOne, atTwo := one.next(), two.next()
	atOne.tell(&wirepb.DirectoryUpdate{Document: &wirepb.Document{Version: 7}})
	w.until(7)
	atTwo.tell(&wirepb.DirectoryUpdate{Document: &wirepb.Document{Version: 5}, Processes: runners(1)})
	w.until(7, "r1")
	assert.Equal(t, w.version(), uint64(7))
}

// TestChangedAnnouncementReachesEveryMember: a process whose minion became known
// says so on the sessions that it has.
func TestChangedAnnouncementReachesEveryMember(t *testing.T) {
	one, two := startMember(t, "127.0.0.1:0"), startMember(t, "127.0.0.1:0")
	w := watch(t, one.listener.Address(), two.listener.Address())
	atOne, atTwo := one.next(), two.next()
	atOne.tell(&wirepb.DirectoryUpdate{Document: &wirepb.Document{Version: 3}})
	w.until(3)
	w.Announce()
	for _, at := range []struct {
		member *testMember
		first  heard
	}{{one, atOne}, {two, atTwo}} {
		again := at.member.next()
		assert.Equal(t, again.announce.KnownVersion, uint64(3))
		assert.Assert(t, again.session == at.first.session)
	}
}
