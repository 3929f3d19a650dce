package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/runtable"
)

// placeChosenBy orders a task that was chosen by a revision of the minion.
func (b *fixture) placeChosenBy(job string, revision uint64) {
	b.place(job, func(p *wirepb.PlaceTasks) { p.MinionRevision = revision })
}

// waitForRevision waits until the runner offers a minion, and returns the revision.
func (b *fixture) waitForRevision(matches func(*wirepb.Room) bool) uint64 {
	b.t.Helper()
	var revision uint64
	b.waitForReport(func(r *wirepb.RunnerReport) bool {
		revision = r.Room.MinionRevision
		return r.Room.Ready && matches(r.Room)
	})
	return revision
}

// presentRevision returns the revision of the minion of a fixture.
func (b *fixture) presentRevision() minionRevision {
	var present minionRevision
	b.handleNow(func(l *loop) { present = l.revision })
	return present
}

// waitForRefusal waits until a run is reported as not run for a reason. It fails if the
// minion gets more starts than it had.
func (b *fixture) waitForRefusal(starts int, reason string) {
	b.t.Helper()
	for began := time.Now(); time.Since(began) < hangTimeout; {
		select {
		case r := <-b.reports:
			if len(r.Ends) > 0 {
				assert.Equal(b.t, r.Ends[0].Outcome, wirepb.RunOutcome_RUN_OUTCOME_NOT_RUN)
				assert.Equal(b.t, r.Ends[0].Reason, reason)
				return
			}
		case <-time.After(time.Millisecond):
			_, now := b.minion.count()
			assert.Equal(b.t, now, starts, "the order was started")
		}
	}
	b.t.Fatal("no run was refused")
}

// TestLateOrderStartedAtAMinionOfAnotherKind guards against an order that a link held up
// while the minion came back as one that its task must not run at.
func TestLateOrderStartedAtAMinionOfAnotherKind(t *testing.T) {
	cases := []struct {
		name   string
		change func(r *Report)
	}{
		{"another label under the same name", func(r *Report) { r.StartedUnixMs, r.Labels = 20, []string{"b"} }},
		{"another service under the same name", func(r *Report) { r.StartedUnixMs, r.Service = 20, "other" }},
		{"another minion of the same kind", func(r *Report) { r.Endpoint, r.StartedUnixMs = "i-2", 20 }},
		{"another label without a restart", func(r *Report) { r.Sequence, r.Labels = 2, []string{"b"} }},
		{"another service without a restart", func(r *Report) { r.Sequence, r.Service = 2, "other" }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := startFixture(t)
			chosenBy := b.presentRevision().number
			later := reportOfMinion("i-1", 10, 1)
			c.change(&later)
			b.minion.restart(later.Endpoint, later.StartedUnixMs)
			b.runner.Report(t.Context(), later)
			present := b.waitForRevision(func(r *wirepb.Room) bool { return r.MinionRevision != chosenBy })
			assert.Assert(t, present > chosenBy, "revision %d after %d", present, chosenBy)

			b.placeChosenBy("late", chosenBy)
			b.waitForRefusal(0, runtable.ReasonMinionChanged)
			b.placeChosenBy("fresh", present)
			b.waitForMinion(func(running, starts int) bool { return running == 1 && starts == 1 })
		})
	}
}

// TestWaitingOrderStartedAfterTheLabelsChanged guards against an order that waits for free
// capacity while the minion becomes one that its task must not run at.
func TestWaitingOrderStartedAfterTheLabelsChanged(t *testing.T) {
	b := startFixture(t)
	b.place("fills the minion", func(p *wirepb.PlaceTasks) { p.Need.CpuMilli = 4000 })
	b.waitForMinion(func(running, _ int) bool { return running == 1 })
	b.place("waits", func(p *wirepb.PlaceTasks) { p.WaitMs = 3_600_000 })
	b.waitForReport(func(r *wirepb.RunnerReport) bool { return r.Room.Placed == 2 })
	later := reportOfMinion("i-1", 10, 2)
	later.Labels = []string{"b"}
	b.runner.Report(t.Context(), later)
	b.waitForRefusal(1, runtable.ReasonMinionChanged)
	b.waitForMinion(func(running, starts int) bool { return running == 1 && starts == 1 })
}

// TestReportsOfTheSameMinionOutdateNoOrder guards against orders that are refused since
// capacity, readiness or the number of the report has changed.
func TestReportsOfTheSameMinionOutdateNoOrder(t *testing.T) {
	b := startFixture(t)
	chosenBy := b.presentRevision().number
	draining := reportOfMinion("i-1", 10, 2)
	draining.Draining = true
	b.runner.Report(t.Context(), draining)
	grown := reportOfMinion("i-1", 10, 3)
	grown.Capacity.CPU = 8000
	b.runner.Report(t.Context(), grown)
	assert.Equal(t, b.presentRevision().number, chosenBy)
	b.placeChosenBy("a", chosenBy)
	b.waitForMinion(func(running, _ int) bool { return running == 1 })
}

// TestOrderOfADispatcherOfAnOlderVersion guards against an upgrade in which older
// dispatchers place nothing, or in which what they sent before the minion changed starts.
func TestOrderOfADispatcherOfAnOlderVersion(t *testing.T) {
	b := startFixture(t)
	b.minion.restart("i-1", 20)
	b.runner.Report(t.Context(), reportOfMinion("i-1", 20, 1))
	b.waitUntilReady(20)
	changed := b.presentRevision().began
	b.place("late", func(p *wirepb.PlaceTasks) { p.StampMs = (changed - time.Millisecond).Milliseconds() })
	b.waitForRefusal(0, runtable.ReasonMinionChanged)
	b.place("fresh", func(p *wirepb.PlaceTasks) { p.StampMs = changed.Milliseconds() })
	b.waitForMinion(func(running, starts int) bool { return running == 1 && starts == 1 })
}
