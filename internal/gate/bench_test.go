package gate

import (
	"runtime"
	"testing"

	wirepb "endivewing/api/endivewing/v1"
)

// jobTasks is the number of tasks that one job has at the agent in benchmarks.
const jobTasks = 4

func benchLimits() Limits {
	l := testLimits()
	l.Slots, l.ResultBytes = 8, 1<<30
	return l
}

// BenchmarkTask measures the handling of a task from its start to its end. Once
// per job, this includes that the job is forgotten.
func BenchmarkTask(b *testing.B) {
	x := newTestbed(b, benchLimits())
	result := make([]byte, 67)
	payload := make([]byte, 100)
	b.ReportAllocs()
	for i := range b.N {
		job, task := uint64(100+i/jobTasks), uint32(i%jobTasks)
		x.g.StartTask(x.now, testSession, &wirepb.StartTask{
			Job: job, Task: task, Attempt: 1, Group: testEntry, Epoch: 1, Incarnation: 9, Payload: payload,
		})
		x.g.Settle(x.now)
		x.g.ClearActions()
		x.g.HandleRequestEnd(x.now, RequestEnd{Key: Key{job, task}, Result: result})
		if task == jobTasks-1 {
			x.g.Forget(x.now, testSession, &wirepb.ForgetJobs{Group: testEntry, Epoch: 1, Jobs: []uint64{job}})
		}
		x.g.Settle(x.now)
		x.g.ClearActions()
	}
}

// BenchmarkSeenTask measures the memory that the gate uses per task until the job
// is forgotten, without the task's result.
func BenchmarkSeenTask(b *testing.B) {
	for _, c := range []struct {
		name string
		end  bool
	}{{"done", true}, {"not run", false}} {
		b.Run(c.name, func(b *testing.B) {
			const tasks = 200000
			for range b.N {
				x := newTestbed(b, benchLimits())
				before := heapBytes()
				recordTasks(x, tasks, c.end)
				b.ReportMetric(float64(heapBytes()-before)/tasks, "B/task")
				runtime.KeepAlive(x)
			}
		})
	}
}

func recordTasks(x *testbed, tasks int, end bool) {
	result := make([]byte, 67)
	x.g.SetDraining(!end)
	for i := range tasks {
		job, task := uint64(100+i/jobTasks), uint32(i%jobTasks)
		x.g.StartTask(x.now, testSession, &wirepb.StartTask{
			Job: job, Task: task, Attempt: 1, Group: testEntry, Epoch: 1, Incarnation: 9,
		})
		x.g.Settle(x.now)
		if end {
			x.g.HandleRequestEnd(x.now, RequestEnd{Key: Key{job, task}, Result: result})
		}
		x.g.Settle(x.now)
		x.g.ClearActions()
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
