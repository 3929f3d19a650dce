package runner

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

// TestLostRunsEndWithoutAMinion: a dispatcher that asks a new runner process for a run waits
// for ever if the minion does not come back.
func TestLostRunsEndWithoutAMinion(t *testing.T) {
	b := &fixture{t: t, minion: newFakeMinion("i-1", 10), reports: make(chan *wirepb.RunnerReport, 1024)}
	b.minion.update(func(m *fakeMinion) { m.silent = true })
	b.startRunner(t)
	b.dial(t)
	b.send(&wirepb.Envelope{Body: &wirepb.Envelope_StopTasks{StopTasks: &wirepb.StopTasks{Job: "a", Tasks: []*wirepb.TaskRun{{Run: 1}}}}})
	b.endWithin(t, 5*time.Second)
}

// TestLostRunsEndAfterALeave: the same, after a leave whose runs ended with their lease.
func TestLostRunsEndAfterALeave(t *testing.T) {
	b := startFixture(t)
	b.placeRunning("a")
	b.runner.Leave(t.Context(), "i-1")
	b.minion.update(func(m *fakeMinion) { m.silent = true })
	b.waitForEnd(wirepb.RunOutcome_RUN_OUTCOME_STOPPED)
	// The report of that end is lost with its session; the dispatcher asks on the next.
	b.send(&wirepb.Envelope{Body: &wirepb.Envelope_StopTasks{StopTasks: &wirepb.StopTasks{Job: "a", Tasks: []*wirepb.TaskRun{{Run: 1}}}}})
	b.endWithin(t, 5*time.Second)
}

func (b *fixture) startRunner(t *testing.T) {
	var err error
	b.runner, err = Start(Options{
		Cluster: "c", Name: "r", Zone: "z", ListenAddress: "127.0.0.1:0", Minion: b.minion, StopTimeout: time.Second, Log: logr.Discard(),
	})
	assert.NilError(t, err)
	t.Cleanup(func() { b.runner.Stop(context.Background()) })
}

func (b *fixture) dial(t *testing.T) {
	var err error
	b.session, err = wire.Dial(t.Context(), b.runner.listener.Address(), wire.Options{
		Hello: func() *wirepb.Hello { return &wirepb.Hello{Role: "dispatcher", Name: "d", Cluster: "c"} },
		Handler: func(_ *wire.Session, e *wirepb.Envelope) {
			if r := e.GetRunnerReport(); r != nil {
				b.reports <- r
			}
		},
		HeartbeatInterval: SessionHeartbeatInterval, Log: logr.Discard(),
	})
	assert.NilError(t, err)
	b.session.Start()
	t.Cleanup(b.session.Close)
	b.send(&wirepb.Envelope{Body: &wirepb.Envelope_Announce{Announce: &wirepb.Announce{Role: "dispatcher", Name: "d", Watches: 1}}})
}

func (b *fixture) endWithin(t *testing.T, most time.Duration) {
	timeout := time.After(most)
	for {
		select {
		case r := <-b.reports:
			if len(r.Ends) > 0 {
				return
			}
		case <-timeout:
			t.Fatalf("no end of the run was reported within %v", most)
		}
	}
}
