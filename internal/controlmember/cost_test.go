package controlmember

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
)

// documentOf returns the body of a document with the given number of routes, as an
// operator writes it. Names are random, hosts and services repeat.
func documentOf(version uint64, routes int) []byte {
	random := rand.New(rand.NewPCG(1, version))
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"services":[{"name":"s","enforceLimits":true}],"routes":[`, version)
	for i := range routes {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"h%d.example","pathPrefix":"/%08x/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":60,`+
			`"priority":1,"service":"s","maxAttempts":4,"stretchFactor":1.6}`, random.Uint32()>>4, i%20, random.Uint32())
	}
	b.WriteString("]}")
	return b.Bytes()
}

// sentToProcesses returns the bytes that members have sent to processes that are no
// members.
func sentToProcesses(scope tally.TestScope) (sent int64) {
	for _, counter := range scope.Snapshot().Counters() {
		switch counter.Tags()["kind"] {
		case "CoreMessage", "SnapshotChunk", "PutDocumentRequest", "PutDocumentResponse":
			continue
		}
		if counter.Name() == "wire.sent_bytes" {
			sent += counter.Value()
		}
	}
	return sent
}

// TestChangeWasSentToEachProcessByEachMember: a large document filled the links of the
// entry hosts with copies of itself and came into force seconds late.
func TestChangeWasSentToEachProcessByEachMember(t *testing.T) {
	const routes = 2500
	g := newGroup(t)
	scope := tally.NewTestScope("", nil)
	g.scope = scope
	members := g.startAll()
	dispatcher := connectAnnounced(t, &wirepb.Announce{Role: "dispatcher", Name: "d", Address: "d"}, g.seeds...)
	for _, name := range []string{"r1", "r2", "r3"} {
		connectAnnounced(t, &wirepb.Announce{Role: "runner", Name: name, Address: name}, g.seeds...)
	}
	g.put(members[1], 1)
	g.waitFor("the dispatcher is connected", func() bool { return dispatcher.hasView(1, 4) })
	before := sentToProcesses(scope)
	body := documentOf(2, routes)
	g.waitFor("the document is stored", func() bool { return members[1].Put(t.Context(), 2, body) == nil })
	g.waitFor("the dispatcher has the document", func() bool { return dispatcher.hasView(2, 4) })
	time.Sleep(500 * time.Millisecond) // for copies that would come later
	copies := float64(sentToProcesses(scope)-before) / float64(len(body))
	assert.Assert(t, copies < 1.5, "the members sent the document %.1f times to one dispatcher and three runners", copies)
}
