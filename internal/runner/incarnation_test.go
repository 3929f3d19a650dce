package runner

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/runtable"
)

// placeRunning orders a task and waits until it runs.
func (b *fixture) placeRunning(job string) {
	b.t.Helper()
	b.placeTask(job, 0)
	b.waitForMinion(func(running, _ int) bool { return running == 1 })
}

// noEndFor fails if an end is reported within a time.
func (b *fixture) noEndFor(duration time.Duration) {
	b.t.Helper()
	timeout := time.After(duration)
	for {
		select {
		case r := <-b.reports:
			assert.Equal(b.t, len(r.Ends), 0, "%v", r.Ends)
		case <-timeout:
			return
		}
	}
}

func (b *fixture) waitForEnd(outcome wirepb.RunOutcome) {
	b.t.Helper()
	b.waitForReport(func(r *wirepb.RunnerReport) bool {
		if len(r.Ends) == 0 {
			return false
		}
		assert.Equal(b.t, r.Ends[0].Outcome, outcome, r.Ends[0].Reason)
		return true
	})
}

// waitUntilReady waits until a start of the minion is the present one and ready.
func (b *fixture) waitUntilReady(startedUnixMs int64) {
	b.t.Helper()
	waitForDump(b.t, b.runner, func(Dump) bool { return b.runner.announce().Minion.StartedUnixMs == startedUnixMs })
	waitForDump(b.t, b.runner, func(d Dump) bool { return d.Ready })
}

func (b *fixture) dump() Dump { return b.runner.Dump().(Dump) }

// TestReportThatTheMinionDeniesEndsNoRuns guards against runs that count as ended on the word of a report.
func TestReportThatTheMinionDeniesEndsNoRuns(t *testing.T) {
	cases := []struct {
		name   string
		report Report
	}{
		{"another name", reportOfMinion("i-odd", 10, 1)},
		{"a later start", reportOfMinion("i-1", 11, 1)},
		{"an earlier start", reportOfMinion("i-1", 9, 99)},
		{"no start time", reportOfMinion("i-1", 0, 99)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := startFixture(t)
			b.placeRunning("a")
			b.runner.Report(t.Context(), c.report)
			b.noEndFor(100 * time.Millisecond)
			d := b.dump()
			assert.Equal(t, d.Endpoint, "i-1")
			assert.Assert(t, d.Known && d.Ready)
			assert.Equal(t, d.Running, 1)
		})
	}
}

// TestReportWithoutAnswerEndsNoRuns guards against a successor that is assumed while the minion is silent.
func TestReportWithoutAnswerEndsNoRuns(t *testing.T) {
	b := startFixture(t)
	b.placeRunning("a")
	b.minion.update(func(m *fakeMinion) { m.silent = true })
	b.runner.Report(t.Context(), reportOfMinion("i-2", 20, 1))
	b.noEndFor(200 * time.Millisecond)
	b.minion.update(func(m *fakeMinion) { m.silent = false })
	b.noEndFor(200 * time.Millisecond)
	assert.Equal(t, b.dump().Running, 1)
}

// TestSuccessorThatAnswersLateTakesOver guards against a confirmation that is given up after a lost answer.
func TestSuccessorThatAnswersLateTakesOver(t *testing.T) {
	b := startFixture(t)
	b.minion.restart("i-2", 20)
	b.minion.update(func(m *fakeMinion) { m.silent = true })
	b.runner.Report(t.Context(), reportOfMinion("i-2", 20, 1))
	time.Sleep(100 * time.Millisecond)
	b.minion.update(func(m *fakeMinion) { m.silent = false })
	waitForDump(t, b.runner, func(d Dump) bool { return d.Endpoint == "i-2" && d.Ready })
}

// TestSuccessorTakesOverWhateverItsStartTime guards against clocks that were set back.
func TestSuccessorTakesOverWhateverItsStartTime(t *testing.T) {
	for _, born := range []int64{5, 20} {
		b := startFixture(t)
		b.minion.restart("i-1", born)
		b.runner.Report(t.Context(), reportOfMinion("i-1", born, 1))
		b.waitUntilReady(born)
	}
}

// TestTwoSuccessorsInTurn guards against a bogus successor that hides the true one.
func TestTwoSuccessorsInTurn(t *testing.T) {
	b := startFixture(t)
	b.minion.restart("i-3", 30)
	for range 20 {
		b.runner.Report(t.Context(), reportOfMinion("i-2", 20, 1))
	}
	b.runner.Report(t.Context(), reportOfMinion("i-3", 30, 1))
	b.runner.Report(t.Context(), reportOfMinion("i-2", 20, 2))
	waitForDump(t, b.runner, func(d Dump) bool { return d.Endpoint == "i-3" && d.Ready })
}

// TestNewestReportOfASuccessorCounts guards against a drain that is missed while the minion is asked.
func TestNewestReportOfASuccessorCounts(t *testing.T) {
	b := startFixture(t)
	b.minion.restart("i-2", 20)
	b.minion.update(func(m *fakeMinion) { m.silent = true })
	b.runner.Report(t.Context(), reportOfMinion("i-2", 20, 1))
	draining := reportOfMinion("i-2", 20, 3)
	draining.Draining = true
	b.runner.Report(t.Context(), draining)
	b.runner.Report(t.Context(), reportOfMinion("i-2", 20, 2))
	b.minion.update(func(m *fakeMinion) { m.silent = false })
	waitForDump(t, b.runner, func(d Dump) bool { return d.Endpoint == "i-2" })
	assert.Assert(t, b.dump().Draining)
}

// TestRestartSeenInAList guards against work at a start that has not said what it can run.
func TestRestartSeenInAList(t *testing.T) {
	b := startFixture(t)
	b.placeRunning("a")
	b.minion.restart("i-1", 5)
	b.waitForEnd(wirepb.RunOutcome_RUN_OUTCOME_STOPPED)
	assert.Assert(t, !b.dump().Ready)
	b.runner.Report(context.Background(), reportOfMinion("i-1", 5, 1))
	waitForDump(t, b.runner, func(d Dump) bool { return d.Ready })
}

// TestRunThatBeganAtTheSuccessorHasNotEnded guards against a start in flight that the next start of the minion carries out.
func TestRunThatBeganAtTheSuccessorHasNotEnded(t *testing.T) {
	b := startFixture(t)
	b.minion.update(func(m *fakeMinion) { m.holdStarts, m.ignoreStops = true, true })
	b.placeTask("a", 0)
	inFlight := b.minion.takeHeld()
	b.minion.restart("i-1", 20)
	answer, err := b.minion.start(inFlight)
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, Accepted)
	b.runner.Report(t.Context(), reportOfMinion("i-1", 20, 1))
	b.noEndFor(200 * time.Millisecond)
	b.minion.update(func(m *fakeMinion) { m.ignoreStops = false })
	b.waitForEnd(wirepb.RunOutcome_RUN_OUTCOME_STOPPED)
	running, _ := b.minion.count()
	assert.Equal(t, running, 0)
}

// TestStartToAnEarlierIncarnationIsRefused guards against a run that begins after its end was reported.
func TestStartToAnEarlierIncarnationIsRefused(t *testing.T) {
	b := startFixture(t)
	b.minion.update(func(m *fakeMinion) { m.holdStarts = true })
	b.placeTask("a", 0)
	inFlight := b.minion.takeHeld()
	b.minion.restart("i-1", 20)
	b.runner.Report(t.Context(), reportOfMinion("i-1", 20, 1))
	b.waitForEnd(wirepb.RunOutcome_RUN_OUTCOME_STOPPED)
	answer, err := b.minion.start(inFlight)
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, Fenced)
}

// TestOrderBeforeATakeoverStartsNothing guards against a start that is meant for the earlier incarnation and goes to the later one.
func TestOrderBeforeATakeoverStartsNothing(t *testing.T) {
	b := startFixture(t)
	b.minion.restart("i-2", 20)
	starts := make(chan int, 1)
	b.runner.enqueue(testEvent(func(l *loop) {
		o := runtable.Order{TaskID: runtable.TaskID{Job: "a"}, Run: 1, Need: runtable.Need{CPU: 1}, Expires: time.Now().Add(time.Hour)}
		l.table.Place(time.Now(), o)
		l.beginIncarnation(time.Now(), reportOfMinion("i-2", 20, 1), 1)
		out := l.table.TakeOutput()
		starts <- len(out.Starts)
	}))
	assert.Equal(t, <-starts, 0)
}

// TestLeaveEndsNoRuns guards against runs that count as ended because a name is said to have left.
func TestLeaveEndsNoRuns(t *testing.T) {
	b := startFixture(t)
	b.placeRunning("a")
	b.runner.Leave(t.Context(), "i-1")
	b.noEndFor(150 * time.Millisecond)
	d := b.dump()
	assert.Assert(t, !d.Known && !d.Ready)
	assert.Equal(t, d.Running, 1)
	b.placeTask("late", 0)
	b.waitForEnd(wirepb.RunOutcome_RUN_OUTCOME_NOT_RUN)
	b.minion.update(func(m *fakeMinion) {
		for id := range m.running {
			delete(m.running, id)
			m.addEnd(id, runtable.Done)
		}
	})
	b.waitForEnd(wirepb.RunOutcome_RUN_OUTCOME_DONE)
}

// TestReportAfterALeaveEndsNoRuns guards against a delayed leave that ends the work of the minion that goes on.
func TestReportAfterALeaveEndsNoRuns(t *testing.T) {
	b := startFixture(t)
	b.placeRunning("a")
	b.runner.Leave(t.Context(), "i-1")
	b.reportMinion(2)
	b.noEndFor(100 * time.Millisecond)
	d := b.dump()
	assert.Assert(t, d.Known && d.Ready)
	assert.Equal(t, d.Running, 1)
}

// TestRunsOfAMinionThatLeftEndWithTheirLease guards against runs that never end after a leave.
func TestRunsOfAMinionThatLeftEndWithTheirLease(t *testing.T) {
	b := startFixture(t)
	b.placeRunning("a")
	b.runner.Leave(t.Context(), "i-1")
	b.minion.update(func(m *fakeMinion) { m.silent = true })
	b.waitForEnd(wirepb.RunOutcome_RUN_OUTCOME_STOPPED)
}

// TestSuccessorOfAMinionThatLeftEndsItsRuns guards against runs that wait for their lease although the minion has a successor.
func TestSuccessorOfAMinionThatLeftEndsItsRuns(t *testing.T) {
	b := startFixture(t)
	b.placeRunning("a")
	b.runner.Leave(t.Context(), "i-1")
	b.minion.restart("i-2", 20)
	b.runner.Report(t.Context(), reportOfMinion("i-2", 20, 1))
	b.waitForReport(func(r *wirepb.RunnerReport) bool {
		return len(r.Ends) == 1 && r.Ends[0].Reason == runtable.ReasonMinionGone
	})
	waitForDump(t, b.runner, func(d Dump) bool { return d.Ready && d.Endpoint == "i-2" })
}

// TestMinionThatLeftIsPolledOnlyWhileRunsAreLeft guards against calls without end to a minion that is gone.
func TestMinionThatLeftIsPolledOnlyWhileRunsAreLeft(t *testing.T) {
	b := startFixture(t)
	b.runner.Leave(t.Context(), "i-1")
	b.dump()
	time.Sleep(50 * time.Millisecond) // a poll that was in progress ends
	before := b.minion.pollCount()
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, b.minion.pollCount(), before)
}

// handleNow has the runner handle events in between its own.
func (b *fixture) handleNow(events func(l *loop)) {
	done := make(chan struct{})
	b.runner.enqueue(testEvent(func(l *loop) {
		events(l)
		close(done)
	}))
	<-done
}

// TestAnswersOfAnEarlierStartAreIgnored guards against answers that count for a later start of the same name.
func TestAnswersOfAnEarlierStartAreIgnored(t *testing.T) {
	const otherClock = 1_000_000
	b := startFixture(t)
	b.minion.restart("i-1", 20)
	b.runner.Report(t.Context(), reportOfMinion("i-1", 20, 1))
	b.waitUntilReady(20)
	b.placeRunning("a")
	b.handleNow(func(l *loop) {
		id := runtable.RunID{TaskID: runtable.TaskID{Job: "a"}, Run: 1}
		earlier := l.incarnation.number - 1
		answer := Answer{Status: Accepted, Clock: otherClock}
		polls, fence := l.longPolls, l.fence
		startAnswered{to: earlier, call: StartCall{Endpoint: "i-1", RunID: id}, err: errNoReply}.handle(l, time.Now())
		startAnswered{to: earlier, call: StartCall{Endpoint: "i-1", RunID: id}, answer: Answer{Status: Refused}}.handle(l, time.Now())
		startAnswered{to: earlier, call: StartCall{Endpoint: "i-1", RunID: id}, answer: answer}.handle(l, time.Now())
		stopAnswered{to: earlier, call: StopCall{Endpoint: "i-1", RunID: id}, answer: answer}.handle(l, time.Now())
		lists := PollAnswer{Answer: answer, StartedUnixMs: 20}
		pollAnswered{to: earlier, call: PollCall{Endpoint: "i-1"}, lists: lists, longPoll: true, sentAt: time.Now()}.handle(l, time.Now())
		fenced := PollAnswer{Answer: Answer{Status: Fenced}}
		pollAnswered{to: earlier, call: PollCall{Endpoint: "i-1", Fence: fence}, lists: fenced}.handle(l, time.Now())
		assert.Check(t, l.lease.clock < otherClock)
		assert.Check(t, l.longPolls == polls)
		assert.Check(t, l.fence == fence)
		assert.Check(t, l.table.Running() == 1)
		out := l.table.TakeOutput()
		assert.Check(t, len(out.Ends)+len(out.Stops)+len(out.Starts) == 0, "%v", out)
	})
}

// TestOnlyListsSetTheClock guards against a clock of another start: answers to starts and stops don't name their start.
func TestOnlyListsSetTheClock(t *testing.T) {
	const otherClock = 1_000_000
	b := startFixture(t)
	b.placeRunning("a")
	b.handleNow(func(l *loop) {
		answer := Answer{Status: Accepted, Clock: otherClock}
		startAnswered{to: l.incarnation.number, call: StartCall{Endpoint: "i-1"}, answer: answer}.handle(l, time.Now())
		stopAnswered{to: l.incarnation.number, call: StopCall{Endpoint: "i-1"}, answer: answer}.handle(l, time.Now())
		lists := PollAnswer{Answer: answer, StartedUnixMs: 11}
		pollAnswered{to: l.incarnation.number, call: PollCall{Endpoint: "i-1"}, lists: lists}.handle(l, time.Now())
		assert.Check(t, l.lease.clock < otherClock)
	})
}

// TestPollsOfAnEarlierIncarnationDelayNone guards against a successor that is not polled while polls to its predecessor hang.
func TestPollsOfAnEarlierIncarnationDelayNone(t *testing.T) {
	b := startFixture(t)
	b.handleNow(func(l *loop) {
		l.longPolls, l.immediatePollActive = 2, true
		l.beginIncarnation(time.Now(), reportOfMinion("i-2", 20, 1), 1)
		assert.Check(t, l.longPolls == 0 && !l.immediatePollActive)
	})
}

// TestRefusedPollsPause guards against calls in a tight loop while another minion is at the address.
func TestRefusedPollsPause(t *testing.T) {
	b := startFixture(t)
	b.minion.restart("i-2", 20)
	began, before := time.Now(), b.minion.pollCount()
	time.Sleep(20 * pollBackoff)
	polls := b.minion.pollCount() - before
	rounds := 2 + int(time.Since(began)/pollBackoff)
	assert.Assert(t, polls <= 2*rounds, "%d polls, at most two are to be in progress in %d pauses", polls, rounds)
}
