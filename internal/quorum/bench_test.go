package quorum

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
)

// benchDataBytes is the data of one entry: a small job's acceptance.
const benchDataBytes = 256

// trio is three bare cores whose disks sync at once.
type trio struct {
	b               *testing.B
	cores           map[uint64]*Core
	messages, bytes int
	// counting measures messages, which costs time.
	counting bool
}

func newTrio(b *testing.B) *trio {
	b.Helper()
	x := &trio{b: b, cores: map[uint64]*Core{}}
	for id := uint64(1); id <= 3; id++ {
		c, err := New(Config{
			ID: id, ElectionTicks: 10, HeartbeatTicks: 2, Seed: 1, MaxBatchBytes: 1 << 20, MaxInflight: 64,
		}, Stored{Membership: voters(1, 2, 3)})
		assert.NilError(b, err)
		x.cores[id] = c
	}
	for x.cores[1].role != member.leader {
		x.cores[1].Tick()
		x.run()
	}
	return x
}

// run works until no core has anything to do.
func (x *trio) run() {
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
			x.hand(r.Messages)
			x.hand(r.Waiting)
		}
	}
}

func (x *trio) hand(messages []*wirepb.CoreMessage) {
	for _, m := range messages {
		if x.counting {
			x.messages++
			x.bytes += proto.Size(m)
		}
		if err := x.cores[m.To].Step(m); err != nil {
			x.b.Fatal(err)
		}
	}
}

func (x *trio) compact() {
	for _, c := range x.cores {
		assert.NilError(x.b, c.Compact(c.applied, 100))
	}
}

func batchOf(n int) [][]byte {
	data := make([][]byte, n)
	for i := range data {
		data[i] = make([]byte, benchDataBytes)
	}
	return data
}

// BenchmarkReplicate commits batches at three members; the time is that of
// all three cores for one entry, without disk, network and encoding.
func BenchmarkReplicate(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			x := newTrio(b)
			data := batchOf(batch)
			entries := 0
			for b.Loop() {
				_, _, err := x.cores[1].Propose(data...)
				assert.NilError(b, err)
				x.run()
				if entries += batch; entries%4096 == 0 {
					x.compact()
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(entries), "ns/entry")
		})
	}
}

// BenchmarkTraffic counts what three members send, for a batch of entries and
// for an idle heartbeat interval.
func BenchmarkTraffic(b *testing.B) {
	for _, batch := range []int{0, 1, 16, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			x := newTrio(b)
			x.counting = true
			for b.Loop() {
				if batch == 0 {
					x.cores[1].Tick()
					x.cores[1].Tick()
				} else {
					_, _, err := x.cores[1].Propose(batchOf(batch)...)
					assert.NilError(b, err)
				}
				x.run()
				if x.cores[1].log.last()-x.cores[1].log.baseIndex > 10_000 {
					x.compact()
				}
			}
			b.ReportMetric(float64(x.messages)/float64(b.N), "messages/op")
			b.ReportMetric(float64(x.bytes)/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkEntryMemory tells what an entry takes in the log of one core. The
// three cores share the entries, so this is entry and slots together.
func BenchmarkEntryMemory(b *testing.B) {
	const entries = 20_000
	for b.Loop() {
		x := newTrio(b)
		before := heapBytes()
		for range entries / 100 {
			_, _, err := x.cores[1].Propose(batchOf(100)...)
			assert.NilError(b, err)
			x.run()
		}
		b.ReportMetric(float64(heapBytes()-before)/entries, "heap-B/entry")
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
