package entry

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/owner"
	"endivewing/internal/placement"
)

const (
	benchOwner  = 1
	benchAgents = 10
)

// benchLoop is a loop without a goroutine. It stands in for the agents, which complete
// each task at once, and for control.
type benchLoop struct {
	*loop
	sent     []*wirepb.StartTask
	agents   []uint64
	answered []uint64
	now      time.Time
}

func (b *benchLoop) Send(agent uint64, e *wirepb.Envelope) {
	if m := e.GetStartTask(); m != nil {
		b.sent = append(b.sent, m)
		b.agents = append(b.agents, agent)
	}
}

func (b *benchLoop) RecordCompletions(_, _ uint64, batch []*wirepb.JobCompletion) {
	for _, c := range batch {
		b.answered = append(b.answered, c.Job)
	}
}

func newBenchLoop() *benchLoop {
	opts := Options{Scope: tally.NoopScope}.withDefaults()
	b := &benchLoop{loop: newLoop(context.Background(), opts, nil), now: time.Unix(1000, 0)}
	b.owner = owner.New(owner.Config{Incarnation: benchOwner, ResolveGrace: resolveGrace}, b)
	b.dispatcher = placement.New(placement.Config{Policy: placement.PolicyLeastOutstanding})
	var agents []placement.Agent
	for i := range uint64(benchAgents) {
		n := 2 + i
		agents = append(agents, placement.Agent{Incarnation: n, Name: fmt.Sprint(n), Slots: 8, Connected: true})
		b.owner.AgentConnected(n)
	}
	b.dispatcher.SetAgents(agents)
	return b
}

func benchSpec(tasks int) *wirepb.JobSpec {
	spec := &wirepb.JobSpec{Team: "t", Service: "s", Submission: "x"}
	for range tasks {
		spec.Tasks = append(spec.Tasks, &wirepb.Task{Payload: make([]byte, 100)})
	}
	return spec
}

func (b *benchLoop) acceptJob(job uint64, spec *wirepb.JobSpec) {
	rec := &wirepb.JobRecord{Job: job, Spec: spec, Group: benchOwner}
	b.addLocalJob(rec)
	b.owner.Accept(rec, b.now.Add(time.Hour))
}

// runAll completes all waiting tasks and records the jobs.
func (b *benchLoop) runAll() {
	for {
		b.assign()
		if len(b.sent) == 0 {
			break
		}
		b.now = b.now.Add(time.Millisecond)
		b.loop.now = b.now
		for i, m := range b.sent {
			b.owner.HandleTaskUpdate(b.agents[i], taskUpdate(m, wirepb.TaskOutcome_TASK_OUTCOME_DONE), b.now)
		}
		b.sent, b.agents = b.sent[:0], b.agents[:0]
	}
	b.owner.Flush(b.now)
	for _, job := range b.answered {
		b.removeLocalJob(job)
	}
	b.owner.CompletionsRecorded(b.answered)
	b.answered = b.answered[:0]
	b.owner.Flush(b.now)
}

// BenchmarkTask measures the processor time and the allocations of owner and
// dispatcher for one task of a job, from its acceptance to its record. The figures
// include one allocation for the agent's update, which the benchmark makes.
func BenchmarkTask(b *testing.B) {
	for _, tasks := range []int{1, 20, 100, 390} {
		b.Run(fmt.Sprintf("job=%d", tasks), func(b *testing.B) {
			l := newBenchLoop()
			spec := benchSpec(tasks)
			b.ReportAllocs()
			job := uint64(100)
			for n := 0; n < b.N; n += tasks {
				job++
				l.acceptJob(job, spec)
				l.runAll()
			}
			if l.owner.JobCount() != 0 {
				b.Fatal("some jobs have not been recorded")
			}
		})
	}
}

// BenchmarkOpenJob measures the memory of an open job without its payloads.
func BenchmarkOpenJob(b *testing.B) {
	for _, tasks := range []int{1, 100, 390} {
		b.Run(fmt.Sprintf("job=%d", tasks), func(b *testing.B) {
			const jobs = 2000
			spec := benchSpec(tasks)
			for b.Loop() {
				l := newBenchLoop()
				before := heapBytes()
				for n := range uint64(jobs) {
					l.acceptJob(100+n, spec)
				}
				b.ReportMetric(float64(heapBytes()-before)/jobs, "B/job")
				runtime.KeepAlive(l)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
