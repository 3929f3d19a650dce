package directory

import (
	"bytes"
	"compress/gzip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

// nextRequest waits for a request for a document.
func (m *testMember) nextRequest() documentRequest {
	m.t.Helper()
	select {
	case r := <-m.requests:
		return r
	case <-time.After(testTimeout):
		m.t.Fatal("no request for a document")
		return documentRequest{}
	}
}

// assertNoRequest checks that no request for a document waits.
func (m *testMember) assertNoRequest() {
	m.t.Helper()
	select {
	case r := <-m.requests:
		m.t.Fatalf("a document of version %d or newer was requested", r.request.MinVersion)
	default:
	}
}

// reply sends a document.
func (r documentRequest) reply(t *testing.T, version uint64, body string) {
	t.Helper()
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err := w.Write([]byte(body))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	response := &wirepb.FetchDocumentResponse{Version: version, CompressedBody: compressed.Bytes()}
	e := &wirepb.Envelope{Body: &wirepb.Envelope_FetchDocumentResponse{FetchDocumentResponse: response}}
	assert.NilError(t, r.session.Reply(wire.LaneTraffic, r.call, e))
}

// refuse replies that the member has no such document.
func (r documentRequest) refuse(t *testing.T) {
	t.Helper()
	fault := wire.FaultReply(wirepb.FaultCode_FAULT_CODE_UNAVAILABLE, "no_such_document", "")
	assert.NilError(t, r.session.Reply(wire.LaneTraffic, r.call, fault))
}

// startPair starts two members and a client that is connected to both.
func startPair(t *testing.T) (one, two *testMember, c *testClient, atOne, atTwo announcement) {
	one, two = startMember(t, "127.0.0.1:0"), startMember(t, "127.0.0.1:0")
	c = startClient(t, one.listener.Address(), two.listener.Address())
	return one, two, c, one.nextAnnouncement(), two.nextAnnouncement()
}

func offered(version uint64) *wirepb.DirectoryUpdate {
	return &wirepb.DirectoryUpdate{DocumentVersion: version}
}

// TestDocumentIsRequestedFromOneMember: all members offer a document, one sends it. The
// one in the process's zone is asked when all have offered it.
func TestDocumentIsRequestedFromOneMember(t *testing.T) {
	near, far := startMemberIn(t, "z1", "127.0.0.1:0"), startMemberIn(t, "z2", "127.0.0.1:0")
	c := startClient(t, near.listener.Address(), far.listener.Address())
	atNear, atFar := near.nextAnnouncement(), far.nextAnnouncement()
	assert.Assert(t, atNear.announce.FetchesDocuments)
	atFar.sendUpdate(offered(1))
	request := far.nextRequest()
	assert.Equal(t, request.request.MinVersion, uint64(1))
	atFar.sendUpdate(offered(4))
	atNear.sendUpdate(&wirepb.DirectoryUpdate{DocumentVersion: 4, Processes: runners(1)})
	c.waitForView(0, "r1") // both offers have arrived
	request.reply(t, 1, "one")
	request = near.nextRequest()
	assert.Equal(t, request.request.MinVersion, uint64(2))
	request.reply(t, 4, "four")
	c.waitForView(4, "r1")
	far.assertNoRequest()
	assert.Equal(t, string(c.buildView().Document.Body), "four")
}

// TestOvertakenDocumentsAreNotRequested: changes that come faster than documents arrive
// cost one document each time one has arrived.
func TestOvertakenDocumentsAreNotRequested(t *testing.T) {
	one := startMember(t, "127.0.0.1:0")
	c := startClient(t, one.listener.Address())
	at := one.nextAnnouncement()
	at.sendUpdate(offered(1))
	request := one.nextRequest()
	for version := uint64(2); version < 9; version++ {
		at.sendUpdate(offered(version))
	}
	at.sendUpdate(&wirepb.DirectoryUpdate{DocumentVersion: 9, Processes: runners(1)})
	c.waitForView(0, "r1")
	one.assertNoRequest()
	request.reply(t, 1, "one")
	one.nextRequest().reply(t, 9, "nine")
	c.waitForView(9, "r1")
	one.assertNoRequest()
}

// TestDocumentsInSeriesTookTheProcessor: documents that take long to apply came one right
// after the other, and callers waited.
func TestDocumentsInSeriesTookTheProcessor(t *testing.T) {
	const took = 100 * time.Millisecond
	one := startMember(t, "127.0.0.1:0")
	c := startSlowClient(t, took, one.listener.Address())
	at := one.nextAnnouncement()
	at.sendUpdate(offered(1))
	request := one.nextRequest()
	at.sendUpdate(offered(2))
	request.reply(t, 1, "one")
	c.waitForView(1)
	applied := time.Now()
	one.nextRequest().reply(t, 2, "two")
	assert.Assert(t, time.Since(applied) > took, "the next document was requested after %v", time.Since(applied))
	c.waitForView(2)
}

// TestDocumentOfASilentMemberComesFromAnother: the member that was asked stands still, or
// the way to it is cut.
func TestDocumentOfASilentMemberComesFromAnother(t *testing.T) {
	silent, other, c, atSilent, atOther := startPair(t)
	atSilent.sendUpdate(offered(3))
	late := silent.nextRequest()
	atOther.sendUpdate(offered(3))
	other.nextRequest().reply(t, 3, "three")
	c.waitForView(3)
	late.reply(t, 3, "three")
	assert.Equal(t, c.documentVersion(), uint64(3))
}

// TestLateDocumentCounts: on a slow link the first reply comes after others were asked.
func TestLateDocumentCounts(t *testing.T) {
	first, second, c, atFirst, atSecond := startPair(t)
	atFirst.sendUpdate(offered(3))
	request := first.nextRequest()
	atSecond.sendUpdate(offered(3))
	second.nextRequest()
	request.reply(t, 3, "three")
	c.waitForView(3)
}

// TestDocumentIsRequestedAgainAfterAFailure: the member refuses, sends what can't be
// read, or ends.
func TestDocumentIsRequestedAgainAfterAFailure(t *testing.T) {
	one, two, three := startMember(t, "127.0.0.1:0"), startMember(t, "127.0.0.1:0"), startMember(t, "127.0.0.1:0")
	c := startClient(t, one.listener.Address(), two.listener.Address(), three.listener.Address())
	atOne, atTwo, atThree := one.nextAnnouncement(), two.nextAnnouncement(), three.nextAnnouncement()
	atOne.sendUpdate(offered(3))
	refused := one.nextRequest()
	atTwo.sendUpdate(offered(3))
	refused.refuse(t)
	unreadable := two.nextRequest()
	atThree.sendUpdate(offered(3))
	response := &wirepb.FetchDocumentResponse{Version: 3, CompressedBody: []byte("no gzip")}
	e := &wirepb.Envelope{Body: &wirepb.Envelope_FetchDocumentResponse{FetchDocumentResponse: response}}
	assert.NilError(t, unreadable.session.Reply(wire.LaneTraffic, unreadable.call, e))
	three.nextRequest().session.Close()
	three.nextAnnouncement().sendUpdate(offered(3))
	three.nextRequest().reply(t, 3, "three")
	c.waitForView(3)
}

// TestOlderReplyIsNoDocument: a member that answers with an older document than was asked
// for is not asked for it again and again.
func TestOlderReplyIsNoDocument(t *testing.T) {
	odd, sound, c, atOdd, atSound := startPair(t)
	atOdd.sendUpdate(&wirepb.DirectoryUpdate{Document: &wirepb.Document{Version: 5}})
	c.waitForView(5)
	atOdd.sendUpdate(offered(9))
	odd.nextRequest().reply(t, 4, "four")
	atSound.sendUpdate(offered(7))
	sound.nextRequest().reply(t, 7, "seven")
	c.waitForView(7)
	odd.assertNoRequest()
}

// TestMemberOfAnOlderVersionSendsDocuments: it sends whole documents, unasked.
func TestMemberOfAnOlderVersionSendsDocuments(t *testing.T) {
	_, newer, c, atOlder, atNewer := startPair(t)
	atOlder.sendUpdate(&wirepb.DirectoryUpdate{Document: &wirepb.Document{Version: 5, Body: []byte("five")}})
	c.waitForView(5)
	atNewer.sendUpdate(&wirepb.DirectoryUpdate{DocumentVersion: 5, Processes: runners(1)})
	c.waitForView(5, "r1")
	newer.assertNoRequest()
	atNewer.sendUpdate(offered(6))
	newer.nextRequest().reply(t, 6, "six")
	c.waitForView(6, "r1")
}
