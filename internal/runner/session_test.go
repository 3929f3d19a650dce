package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

// TestRunsOfAnEarlierSessionAreStopped: a dispatcher that lost its session had
// connected again, and the runs of the earlier session went on until that one
// was silent for long.
func TestRunsOfAnEarlierSessionAreStopped(t *testing.T) {
	b := startFixture(t)
	b.placeTask("a", 0)
	b.waitForMinion(func(running, _ int) bool { return running == 1 })
	b.connect()
	b.waitForMinion(func(running, _ int) bool { return running == 0 })
	assert.DeepEqual(t, b.runner.Dump().(Dump).Dispatchers, []string{"d"})
}

// inLoop is an event that runs a function in the loop.
type inLoop func(l *loop, now time.Time)

func (e inLoop) handle(l *loop, now time.Time) { e(l, now) }

// present returns the runner's end of the session with the dispatcher.
func (b *fixture) present() *wire.Session {
	found := make(chan *wire.Session, 1)
	b.runner.enqueue(inLoop(func(l *loop, _ time.Time) {
		for s := range l.dispatchers {
			found <- s
		}
	}))
	return <-found
}

// TestAnnouncementOnASessionThatEnded: an announcement that a dispatcher had sent
// before it gave a session up brought that session back to life.
func TestAnnouncementOnASessionThatEnded(t *testing.T) {
	b := startFixture(t)
	earlier := b.present()
	b.connect()
	later := b.present()
	assert.Assert(t, later != earlier)
	b.runner.enqueue(dispatcherAnnounced{earlier, 2})
	assert.Assert(t, b.present() == later)
	b.placeTask("a", 0)
	b.waitForMinion(func(running, _ int) bool { return running == 1 })
}

// askFor asks for the end of the first run of a job.
func (b *fixture) askFor(job string) {
	b.send(&wirepb.Envelope{Body: &wirepb.Envelope_StopTasks{StopTasks: &wirepb.StopTasks{Job: job, Tasks: []*wirepb.TaskRun{{Run: 1}}}}})
}

// TestEndOfALostRunIsReportedOnTheNextSession: a dispatcher that had lost its
// session learned nothing of its runs, and counted them as over after 1.8 s.
func TestEndOfALostRunIsReportedOnTheNextSession(t *testing.T) {
	b := startFixture(t)
	b.placeTask("a", 0)
	b.waitForMinion(func(running, _ int) bool { return running == 1 })
	b.connect()
	b.askFor("a")
	b.askFor("never placed")
	ended := map[string]bool{}
	b.waitForReport(func(r *wirepb.RunnerReport) bool {
		running, _ := b.minion.count()
		for _, e := range r.Ends {
			assert.Equal(t, e.Outcome, wirepb.RunOutcome_RUN_OUTCOME_STOPPED)
			assert.Assert(t, e.Job != "a" || running == 0)
			ended[e.Job] = true
		}
		return len(ended) == 2
	})
}
