package ledger

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
)

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// applyCommands applies n commands from index first on. It encodes and decodes
// each one first, since commands read from the log are decoded too.
func applyCommands(b *testing.B, l *Ledger, first uint64, n int, build func(i uint64) *wirepb.Command) {
	for i := first; i < first+uint64(n); i++ {
		data, err := proto.Marshal(build(i))
		assert.NilError(b, err)
		cmd := new(wirepb.Command)
		assert.NilError(b, proto.Unmarshal(data, cmd))
		r := l.Apply(i, cmd)
		assert.Assert(b, r.Fault == nil, "%v", r.Fault)
	}
}

func acceptCommand(i uint64) *wirepb.Command {
	return &wirepb.Command{NowUnixMs: 1, Body: &wirepb.Command_Accept{Accept: &wirepb.AcceptRequest{
		Spec: &wirepb.JobSpec{
			Team: "team", Service: "service", Submission: fmt.Sprintf("submission-%020d", i),
			Tasks: []*wirepb.Task{{Payload: make([]byte, 64)}},
		},
		Digest: make([]byte, 32), Owner: 1, Token: i,
	}}}
}

func completeCommand(job uint64) *wirepb.Command {
	return &wirepb.Command{NowUnixMs: 1, Body: &wirepb.Command_Complete{Complete: &wirepb.CompleteRequest{
		Owner: 1, Group: 1, Epoch: 1,
		Completions: []*wirepb.JobCompletion{{
			Job: job, Answer: &wirepb.JobAnswer{Complete: true, Results: [][]byte{make([]byte, 32)}},
		}},
	}}}
}

// BenchmarkMemory measures the heap bytes for each job and resource, at three
// table sizes.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{20_000, 50_000, 100_000} {
		b.Run(fmt.Sprint("jobs=", n), func(b *testing.B) { benchmarkJobs(b, n) })
		b.Run(fmt.Sprint("resources=", n/10), func(b *testing.B) { benchmarkResources(b, n/10) })
	}
}

func benchmarkJobs(b *testing.B, n int) {
	for range b.N {
		empty := heapBytes()
		l := New()
		applyCommands(b, l, 1, 1, func(uint64) *wirepb.Command {
			i := &wirepb.Instance{Kind: wirepb.InstanceKind_INSTANCE_KIND_ENTRY, Name: "a", Token: "t"}
			return &wirepb.Command{Body: &wirepb.Command_Register{Register: &wirepb.RegisterRequest{Instance: i}}}
		})
		next := uint64(2)
		applyCommands(b, l, next, n, acceptCommand)
		b.ReportMetric((heapBytes()-empty)/float64(n), "B/open_job")
		next += uint64(n)
		applyCommands(b, l, next, n, func(i uint64) *wirepb.Command { return completeCommand(i - uint64(n)) })
		b.ReportMetric((heapBytes()-empty)/float64(n), "B/ended_job")
		var buf bytes.Buffer
		began := time.Now()
		frozen := l.Freeze()
		b.ReportMetric(float64(time.Since(began).Microseconds()), "freeze_us")
		assert.NilError(b, frozen.Encode(&buf))
		b.ReportMetric(float64(buf.Len())/float64(n), "snapshot_B/ended_job")
		buf = bytes.Buffer{}
		next += uint64(n)
		applyCommands(b, l, next, 1, func(uint64) *wirepb.Command {
			return &wirepb.Command{Body: &wirepb.Command_ExpireJobs{ExpireJobs: &wirepb.ExpireJobs{
				EndedBeforeUnixMs: 2, Limit: uint32(n),
			}}}
		})
		b.ReportMetric((heapBytes()-empty)/float64(n), "B/expired_job")
		runtime.KeepAlive(l)
	}
}

func benchmarkResources(b *testing.B, n int) {
	for range b.N {
		empty := heapBytes()
		l := New()
		applyCommands(b, l, 1, n, func(i uint64) *wirepb.Command {
			return &wirepb.Command{Body: &wirepb.Command_Apply{Apply: &wirepb.ApplyRequest{
				RequestId: fmt.Sprint("request", i), AnyRevision: true,
				Resource: &wirepb.Resource{Kind: KindEndpoint, Name: fmt.Sprint("endpoint", i), Spec: make([]byte, 200)},
			}}}
		})
		l.requests.init()
		b.ReportMetric((heapBytes()-empty)/float64(n), "B/resource")
		runtime.KeepAlive(l)
	}
}
