package quorum

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
)

// benchDataBytes is the data size of one entry, as large as the acceptance of a
// small job.
const benchDataBytes = 256

// benchCluster is a cluster of three cores whose disk syncs take no time.
type benchCluster struct {
	b     *testing.B
	cores map[uint64]*Core
	sent  []*wirepb.CoreMessage
}

func newBenchCluster(b *testing.B) *benchCluster {
	b.Helper()
	x := &benchCluster{b: b, cores: map[uint64]*Core{}}
	for id := uint64(1); id <= 3; id++ {
		c, err := New(Config{
			ID: id, ElectionTicks: 10, HeartbeatTicks: 2, Seed: 1, MaxBatchBytes: 1 << 20, MaxInflight: 64,
		}, StoredState{Membership: voters(1, 2, 3)})
		assert.NilError(b, err)
		x.cores[id] = c
	}
	for x.cores[1].role != member.leader {
		x.cores[1].Tick()
		x.run()
	}
	return x
}

// run delivers messages until no core has pending work, and records them in
// sent.
func (x *benchCluster) run() {
	x.sent = x.sent[:0]
	for busy := true; busy; {
		busy = false
		for id := uint64(1); id <= 3; id++ {
			c := x.cores[id]
			if !c.HasReady() {
				continue
			}
			busy = true
			r := c.Ready()
			if r.MustSync {
				c.Synced(r.Sync.Index, r.Sync.Term)
			}
			for _, m := range append(r.Messages, r.MessagesAfterSync...) {
				x.sent = append(x.sent, m)
				assert.NilError(x.b, x.cores[m.To].Step(m))
			}
		}
	}
}

// commit proposes and commits a batch of entries. A batch of 0 stands for an
// idle heartbeat interval.
func (x *benchCluster) commit(batch int) {
	lead := x.cores[1]
	if batch == 0 {
		lead.Tick()
		lead.Tick()
	} else {
		data := make([][]byte, batch)
		for i := range data {
			data[i] = make([]byte, benchDataBytes)
		}
		_, _, err := lead.Propose(data...)
		assert.NilError(x.b, err)
	}
	x.run()
}

// BenchmarkReplicate commits batches in a cluster of three members. It measures
// the time of all three cores, without disk, network and encoding.
func BenchmarkReplicate(b *testing.B) {
	for _, batch := range []int{0, 1, 16, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			x := newBenchCluster(b)
			for b.Loop() {
				x.commit(batch)
				if lead := x.cores[1]; lead.log.last()-lead.log.baseIndex > 4096 {
					for _, c := range x.cores {
						assert.NilError(b, c.Compact(c.applied, 100))
					}
				}
			}
			x.commit(batch)
			bytes := 0
			for _, m := range x.sent {
				bytes += proto.Size(m)
			}
			b.ReportMetric(float64(len(x.sent)), "messages/op")
			b.ReportMetric(float64(bytes), "wire-B/op")
		})
	}
}

// BenchmarkEntryMemory measures the heap memory of one log entry. The three
// cores share the entry itself, so the result is one entry and a slot for it in
// each of the three logs.
func BenchmarkEntryMemory(b *testing.B) {
	const batches, batch = 200, 100
	for b.Loop() {
		x := newBenchCluster(b)
		before := heapBytes()
		for range batches {
			x.commit(batch)
		}
		x.sent = nil
		b.ReportMetric(float64(heapBytes()-before)/(batches*batch), "heap-B/entry")
		runtime.KeepAlive(x)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
