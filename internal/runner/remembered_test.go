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
	minion := newFakeMinion("i-1", startedUnixMs)
	minion.running[left] = true
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
	draining := recordOf(11)
	draining.Draining = true
	otherName := recordOf(11)
	otherName.Endpoint = "i-2"
	for _, record := range []*wirepb.MinionRecord{recordOf(10), draining, otherName} {
		p := startWithoutReport(t, 11)
		p.enqueue(minionRemembered{record})
		waitForNoCandidates(t, p)
		assert.Equal(t, p.Dump().(Dump).Known, false)
	}
}

// TestRecordOfASilentMinionIsNotUsed: no answer confirms nothing.
func TestRecordOfASilentMinionIsNotUsed(t *testing.T) {
	p := startWithoutReport(t, 11)
	p.opts.Minion.(*fakeMinion).update(func(m *fakeMinion) { m.silent = true })
	p.enqueue(minionRemembered{recordOf(11)})
	waitForNoCandidates(t, p)
	assert.Equal(t, p.Dump().(Dump).Known, false)
}

// TestRecordsOfAllMembersAreAskedAboutOnce: every member sends the same record.
func TestRecordsOfAllMembersAreAskedAboutOnce(t *testing.T) {
	p := startWithoutReport(t, 11)
	candidates := make(chan int, 1)
	p.enqueue(testEvent(func(l *loop) {
		for range 3 {
			minionRemembered{recordOf(11)}.handle(l, time.Now())
		}
		candidates <- len(l.candidates)
	}))
	assert.Equal(t, <-candidates, 1)
	waitForDump(t, p, func(d Dump) bool { return d.Ready })
}

// TestRecordIsNotUsedBesideAKnownMinion: the minion has reported itself, and what
// members remember may be older.
func TestRecordIsNotUsedBesideAKnownMinion(t *testing.T) {
	b := startFixture(t)
	b.runner.enqueue(testEvent(func(l *loop) {
		minionRemembered{recordOf(11)}.handle(l, time.Now())
		assert.Check(t, len(l.candidates) == 0)
	}))
	assert.Equal(t, b.runner.announce().Minion.StartedUnixMs, int64(10))
}

// waitForNoCandidates waits until the minion has been asked about all candidates.
func waitForNoCandidates(t *testing.T, p *Process) {
	t.Helper()
	left := make(chan int, 1)
	for end := time.Now().Add(hangTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		p.enqueue(testEvent(func(l *loop) { left <- len(l.candidates) }))
		if <-left == 0 {
			return
		}
	}
	t.Fatal("the minion is still being asked")
}

// testEvent is an event that a test handles itself.
type testEvent func(l *loop)

func (e testEvent) handle(l *loop, _ time.Time) { e(l) }
