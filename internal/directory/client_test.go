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

// testMember is a control member that sends the updates of a test.
type testMember struct {
	t        *testing.T
	listener *wire.Listener
	// announcements receives the announcements with their sessions.
	announcements chan announcement
	// requests receives the requests for documents.
	requests chan documentRequest
}

type documentRequest struct {
	session *wire.Session
	call    uint64
	request *wirepb.FetchDocumentRequest
}

type announcement struct {
	session  *wire.Session
	announce *wirepb.Announce
}

const testTimeout = 60 * time.Second

func startMember(t *testing.T, address string) *testMember { return startMemberIn(t, "", address) }

// startMemberIn starts a member in a zone.
func startMemberIn(t *testing.T, zone, address string) *testMember {
	m := &testMember{t: t, announcements: make(chan announcement, 16), requests: make(chan documentRequest, 16)}
	listener, err := wire.Listen(address, wire.Options{
		Hello: func() *wirepb.Hello { return &wirepb.Hello{Role: "control", Cluster: "c", Zone: zone} },
		Handler: func(s *wire.Session, e *wirepb.Envelope) {
			if a := e.GetAnnounce(); a != nil {
				m.announcements <- announcement{s, a}
			}
			if r := e.GetFetchDocumentRequest(); r != nil {
				m.requests <- documentRequest{s, e.Call, r}
			}
		},
		HeartbeatInterval: SessionHeartbeatInterval, IdleTimeout: testTimeout, Log: logr.Discard(),
	})
	assert.NilError(t, err)
	m.listener = listener
	go listener.Serve()
	t.Cleanup(listener.Close)
	return m
}

// nextAnnouncement waits for an announcement.
func (m *testMember) nextAnnouncement() announcement {
	select {
	case a := <-m.announcements:
		return a
	case <-time.After(testTimeout):
		m.t.Fatal("no announcement")
		return announcement{}
	}
}

func (a announcement) sendUpdate(u *wirepb.DirectoryUpdate) {
	_ = a.session.Send(wire.LaneUrgent, &wirepb.Envelope{Body: &wirepb.Envelope_DirectoryUpdate{DirectoryUpdate: u}})
}

// testClient is a client whose views are passed to the test.
type testClient struct {
	*Client
	t     *testing.T
	views chan View
}

func startClient(t *testing.T, seeds ...string) *testClient { return startSlowClient(t, 0, seeds...) }

// startSlowClient starts a client whose OnChange takes a time.
func startSlowClient(t *testing.T, took time.Duration, seeds ...string) *testClient {
	c := &testClient{t: t, views: make(chan View, 64)}
	c.Client = Start(Options{
		Seeds:    seeds,
		Wire:     wire.Options{Hello: func() *wirepb.Hello { return &wirepb.Hello{Role: "dispatcher", Cluster: "c", Zone: "z1"} }, Log: logr.Discard()},
		Announce: func() *wirepb.Announce { return &wirepb.Announce{Role: "dispatcher", Name: "d"} },
		OnChange: func(v View) {
			time.Sleep(took)
			c.views <- v
		},
		UsesDocuments: true,
		Log:           logr.Discard(),
	})
	t.Cleanup(c.Close)
	return c
}

// waitForView reads views until one has exactly these processes and this
// document version.
func (c *testClient) waitForView(version uint64, names ...string) {
	c.t.Helper()
	for {
		select {
		case v := <-c.views:
			if v.Document.GetVersion() == version && slices.Equal(namesOf(v), names) {
				return
			}
		case <-time.After(testTimeout):
			c.t.Fatalf("no view with version %d and %v", version, names)
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
	var announces []*wirepb.Announce
	for _, n := range numbers {
		announces = append(announces, &wirepb.Announce{Role: "runner", Name: fmt.Sprint("r", n), Address: fmt.Sprint("10.0.0.", n, ":1")})
	}
	return announces
}

// TestViewIsUnionOfMembers: each member reports only its changes, and the view
// is the union of two members.
func TestViewIsUnionOfMembers(t *testing.T) {
	one, two := startMember(t, "127.0.0.1:0"), startMember(t, "127.0.0.1:0")
	c := startClient(t, one.listener.Address(), two.listener.Address())
	atOne, atTwo := one.nextAnnouncement(), two.nextAnnouncement()
	atOne.sendUpdate(&wirepb.DirectoryUpdate{Processes: runners(1, 2)})
	c.waitForView(0, "r1", "r2")
	atTwo.sendUpdate(&wirepb.DirectoryUpdate{Processes: runners(2, 3)})
	c.waitForView(0, "r1", "r2", "r3")
	atOne.sendUpdate(&wirepb.DirectoryUpdate{Left: runners(1, 2)})
	c.waitForView(0, "r2", "r3")
	atTwo.sendUpdate(&wirepb.DirectoryUpdate{Left: runners(2), Processes: runners(4)})
	c.waitForView(0, "r3", "r4")
}

// TestMemberRestartDropsItsProcesses guards against processes that stay in the
// view after they left while their member was down. What a member reported is
// dropped when its session ends.
func TestMemberRestartDropsItsProcesses(t *testing.T) {
	one := startMember(t, "127.0.0.1:0")
	address := one.listener.Address()
	c := startClient(t, address)
	one.nextAnnouncement().sendUpdate(&wirepb.DirectoryUpdate{Processes: runners(1, 2)})
	c.waitForView(0, "r1", "r2")
	one.listener.Close()
	again := startMember(t, address)
	again.nextAnnouncement().sendUpdate(&wirepb.DirectoryUpdate{Processes: runners(2)})
	c.waitForView(0, "r2")
}

// TestOlderDocumentIsIgnored covers a member that lags behind and sends an
// older document after another member sent a newer one.
func TestOlderDocumentIsIgnored(t *testing.T) {
	one, two := startMember(t, "127.0.0.1:0"), startMember(t, "127.0.0.1:0")
	c := startClient(t, one.listener.Address(), two.listener.Address())
	atOne, atTwo := one.nextAnnouncement(), two.nextAnnouncement()
	atOne.sendUpdate(&wirepb.DirectoryUpdate{Document: &wirepb.Document{Version: 7}})
	c.waitForView(7)
	atTwo.sendUpdate(&wirepb.DirectoryUpdate{Document: &wirepb.Document{Version: 5}, Processes: runners(1)})
	c.waitForView(7, "r1")
	assert.Equal(t, c.documentVersion(), uint64(7))
}

// TestChangedAnnouncementReachesEveryMember: a changed announcement, such as
// one whose minion has become known, is sent on the existing sessions.
func TestChangedAnnouncementReachesEveryMember(t *testing.T) {
	one, two := startMember(t, "127.0.0.1:0"), startMember(t, "127.0.0.1:0")
	c := startClient(t, one.listener.Address(), two.listener.Address())
	atOne, atTwo := one.nextAnnouncement(), two.nextAnnouncement()
	atOne.sendUpdate(&wirepb.DirectoryUpdate{Document: &wirepb.Document{Version: 3}})
	c.waitForView(3)
	c.Announce()
	for _, at := range []struct {
		member *testMember
		first  announcement
	}{{one, atOne}, {two, atTwo}} {
		again := at.member.nextAnnouncement()
		assert.Equal(t, again.announce.KnownVersion, uint64(3))
		assert.Assert(t, again.session == at.first.session)
	}
}
