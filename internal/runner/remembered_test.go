package runner

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/runtable"
)

// startWithoutReport starts a runner whose minion runs a task of before its
// restart and has not reported yet.
func startWithoutReport(t *testing.T, startedUnixMs int64) *Process {
	t.Helper()
	left := runtable.RunID{TaskID: runtable.TaskID{Job: "before"}, Run: 1}
	minion := &fakeMinion{running: map[runtable.RunID]bool{left: true}, startedUnixMs: startedUnixMs}
	p, err := Start(Options{
		Cluster: "c", Name: "r", Zone: "z", ListenAddress: "127.0.0.1:0", Minion: minion,
		StopTimeout: time.Second, Log: logr.Discard(),
	})
	assert.NilError(t, err)
	t.Cleanup(func() { p.Stop(context.Background()) })
	return p
}

func recordOf(startedUnixMs int64) *wirepb.MinionRecord {
	return minionRecord(&Report{
		Endpoint: "i-1", Service: "s", Labels: []string{"a"}, Capacity: runtable.Need{CPU: 4000, Memory: 100},
		Sequence: 7, StartedUnixMs: startedUnixMs,
	})
}

// waitForDump waits until a dump of the runner satisfies a condition.
func waitForDump(t *testing.T, p *Process, satisfied func(Dump) bool) {
	t.Helper()
	for end := time.Now().Add(hangTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if satisfied(p.Dump().(Dump)) {
			return
		}
	}
	t.Fatal("the runner did not reach the expected state")
}

// TestRestartedRunnerFindsItsMinion replays the kill of all processes: the
// minion goes on and reports only every second or two. The runner offers its
// capacity as soon as the minion confirms the record and the tasks of before
// have been stopped.
func TestRestartedRunnerFindsItsMinion(t *testing.T) {
	p := startWithoutReport(t, 10)
	p.enqueue(minionRemembered{recordOf(10)})
	waitForDump(t, p, func(d Dump) bool { return d.Ready })
	d := p.Dump().(Dump)
	assert.Equal(t, d.Endpoint, "i-1")
	assert.Equal(t, d.Capacity, runtable.Need{CPU: 4000, Memory: 100})
	assert.Equal(t, d.Open, 0)
	announced := p.announce()
	assert.Equal(t, announced.Service, "s")
	assert.Assert(t, sameMinion(announced.Minion, recordOf(10)))
}

// TestRecordOfAnotherIncarnationIsNotUsed: the minion has restarted, or it was
// draining, so its record must not count as a report.
func TestRecordOfAnotherIncarnationIsNotUsed(t *testing.T) {
	p := startWithoutReport(t, 11)
	draining := recordOf(11)
	draining.Draining = true
	unstarted := newLoop(p)
	assert.Assert(t, unstarted.mayUse(recordOf(11)))
	assert.Assert(t, !unstarted.mayUse(draining))
	unstarted.recordAsked = recordOf(11)
	assert.Assert(t, !unstarted.mayUse(recordOf(11)))
	assert.Assert(t, unstarted.mayUse(recordOf(12)))
	unstarted.recordAsked, unstarted.incarnation.Endpoint = nil, "i-2"
	assert.Assert(t, !unstarted.mayUse(recordOf(11)))
	handled := make(chan struct{})
	p.enqueue(minionRemembered{recordOf(10)})
	p.enqueue(rememberedMinionAnswered{recordOf(10), PollAnswer{Answer: Answer{Status: Accepted, Clock: 1}, StartedUnixMs: 11}, nil})
	p.enqueue(rememberedMinionAnswered{recordOf(11), PollAnswer{Answer: Answer{Status: OtherIncarnation}}, nil})
	p.enqueue(rememberedMinionAnswered{recordOf(11), PollAnswer{}, context.DeadlineExceeded})
	p.enqueue(doneEvent{handled})
	<-handled
	assert.Equal(t, p.Dump().(Dump).Known, false)
}

// doneEvent shows that the events before it were handled.
type doneEvent struct{ done chan<- struct{} }

func (e doneEvent) handle(*loop, time.Time) { close(e.done) }
