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

// BenchmarkChange measures what a change of the document costs: the bytes that five
// members send to a number of dispatchers and runners.
func BenchmarkChange(b *testing.B) {
	for _, fleet := range []struct{ dispatchers, runners int }{{1, 4}, {5, 58}, {31, 169}} {
		for _, routes := range []int{40, 2500, 8000} {
			b.Run(fmt.Sprintf("dispatchers=%d/runners=%d/routes=%d", fleet.dispatchers, fleet.runners, routes), func(b *testing.B) {
				benchmarkChange(b, fleet.dispatchers, fleet.runners, routes)
			})
		}
	}
}

func benchmarkChange(b *testing.B, dispatchers, runners, routes int) {
	g := newGroupOf(b, 5)
	scope := tally.NewTestScope("", nil)
	g.scope = scope
	members := g.startAll()
	var using []*testProcess
	for i := range dispatchers {
		name := fmt.Sprint("d", i)
		using = append(using, connectAnnounced(b, &wirepb.Announce{Role: "dispatcher", Name: name, Address: name}, g.seeds...))
	}
	for i := range runners {
		name := fmt.Sprint("r", i)
		connectAnnounced(b, &wirepb.Announce{Role: "runner", Name: name, Address: name}, g.seeds...)
	}
	inForce := func(version uint64) func() bool {
		return func() bool {
			for _, p := range using {
				if !p.hasView(version, dispatchers+runners) {
					return false
				}
			}
			return true
		}
	}
	g.put(members[1], 1)
	g.waitFor("all are connected", inForce(1))
	size := 0
	var sent int64
	for version := uint64(2); b.Loop(); version++ {
		before := sentToProcesses(scope)
		body := documentOf(version, routes)
		size = len(body)
		g.waitFor("the document is stored", func() bool { return members[1].Put(b.Context(), version, body) == nil })
		g.waitFor("the dispatchers have the document", inForce(version))
		time.Sleep(500 * time.Millisecond) // for copies that would come later
		sent += sentToProcesses(scope) - before
	}
	perChange := float64(sent) / float64(b.N)
	b.ReportMetric(float64(size)/1e3, "document-KB")
	b.ReportMetric(perChange/1e6, "MB/change")
	b.ReportMetric(perChange/1e3/float64(dispatchers+runners), "KB/process")
}
