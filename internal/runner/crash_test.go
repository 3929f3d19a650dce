package runner

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/runtable"
	"endivewing/internal/wire"
)

// errRefused is the error of a call to an address at which no process listens.
var errRefused error = &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// crashableMinion is a heldMinion that may refuse connections.
type crashableMinion struct {
	*heldMinion
	down bool
}

func (m *crashableMinion) Start(ctx context.Context, c StartCall) (Answer, error) {
	if m.down {
		return Answer{}, errRefused
	}
	return m.heldMinion.Start(ctx, c)
}

func (m *crashableMinion) Stop(ctx context.Context, c StopCall) (Answer, error) {
	if m.down {
		return Answer{}, errRefused
	}
	return m.heldMinion.Stop(ctx, c)
}

func (m *crashableMinion) Poll(ctx context.Context, c PollCall) (PollAnswer, error) {
	if m.down {
		return PollAnswer{}, errRefused
	}
	return m.heldMinion.Poll(ctx, c)
}

// crashFixture is a stepped loop whose minion may crash.
type crashFixture struct {
	*steppedLoop
	minion *crashableMinion
	scope  tally.TestScope
}

func newCrashFixture(t *testing.T) *crashFixture {
	s := newSteppedLoop(t)
	f := &crashFixture{steppedLoop: s, minion: &crashableMinion{heldMinion: s.minion}}
	f.p.opts.Minion = f.minion
	f.scope = tally.NewTestScope("", nil)
	f.metrics.crashes = f.scope.Counter("minion_crashes")
	return f
}

// takeCrashes returns the crashes that dispatchers are told of since the last call.
func (f *crashFixture) takeCrashes() []*wirepb.MinionCrash {
	var all []*wirepb.MinionCrash
	for _, c := range f.crashes {
		all = append(all, c.message)
	}
	f.crashes = nil
	return all
}

// successor has the minion confirm a later incarnation.
func (f *crashFixture) successor(endpoint string, startedUnixMs int64) {
	later := f.incarnation.Report
	later.Endpoint, later.StartedUnixMs, later.Sequence, later.Draining = endpoint, startedUnixMs, 1, false
	f.p.minion.Store(minionRecord(&later)) // nothing is left to announce
	f.beginIncarnation(f.clock.now(), later, 100)
	f.step()
}

// counted returns how many crashes were counted.
func (f *crashFixture) counted() int64 {
	var n int64
	for _, c := range f.scope.Snapshot().Counters() {
		n += c.Value()
	}
	return n
}

func jobsOf(c *wirepb.MinionCrash) []string {
	var jobs []string
	for _, r := range c.Runs {
		jobs = append(jobs, fmt.Sprint(r.Job, "/", r.Run))
	}
	return jobs
}

// TestRunsWereNotCountedWhenTheirMinionCrashed: another incarnation answers while the
// earlier one had neither left nor was draining, under another name and under the same.
func TestRunsWereNotCountedWhenTheirMinionCrashed(t *testing.T) {
	for _, endpoint := range []string{"i-1", "i-2"} {
		synctest.Test(t, func(t *testing.T) {
			f := newCrashFixture(t)
			f.start("b")
			f.start("a")
			f.successor(endpoint, 20)
			crashes := f.takeCrashes()
			assert.Equal(t, len(crashes), 1)
			assert.Equal(t, crashes[0].Endpoint, "i-1")
			assert.Equal(t, crashes[0].StartedUnixMs, int64(10))
			assert.DeepEqual(t, jobsOf(crashes[0]), []string{"b/1", "a/1"}) // in the order of their starts
			assert.Equal(t, f.counted(), int64(1))
			f.step()
			assert.Equal(t, f.table.OpenRuns(), 2, "a crash is no proof of an end")
		})
	}
}

// TestCrashWasKnownOnlyWhenTheMinionWasBack: nobody listens until the lease is over. The
// later incarnation does not report the same crash again.
func TestCrashWasKnownOnlyWhenTheMinionWasBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFixture(t)
		f.start("a")
		f.minion.down = true
		f.tickFor(leaseDuration / 2)
		assert.Equal(t, len(f.takeCrashes()), 0)
		assert.Equal(t, len(f.dispatcher.ends), 0)
		f.tickFor(2 * leaseDuration)
		crashes := f.takeCrashes()
		assert.Equal(t, len(crashes), 1)
		assert.DeepEqual(t, jobsOf(crashes[0]), []string{"a/1"})
		assert.Equal(t, f.onlyOutcome(), wirepb.RunOutcome_RUN_OUTCOME_STOPPED)
		f.successor("i-2", 20)
		f.successor("i-3", 30)
		assert.Equal(t, len(f.takeCrashes()), 0)
		assert.Equal(t, f.counted(), int64(2)) // i-2 crashed too, with no run
	})
}

// TestCutMinionCountedAsCrashed: a silent minion whose lease ended answers again as the
// same incarnation, and crashes later under other runs only.
func TestCutMinionCountedAsCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFixture(t)
		f.start("a")
		f.tickFor(2 * leaseDuration) // the minion answers nothing
		assert.Equal(t, f.onlyOutcome(), wirepb.RunOutcome_RUN_OUTCOME_STOPPED)
		assert.Equal(t, len(f.takeCrashes()), 0)
		f.minion.polls = f.minion.polls[len(f.minion.polls)-1:]
		f.answerPolls(f.minionClock())
		f.tickFor(runningTickInterval)
		f.answerPolls(f.minionClock())
		assert.Assert(t, f.table.Ready())
		f.start("b")
		f.successor("i-2", 20)
		crashes := f.takeCrashes()
		assert.Equal(t, len(crashes), 1)
		assert.DeepEqual(t, jobsOf(crashes[0]), []string{"b/1"})
	})
}

// TestRunsThatTheLeaseEndedWereNotCounted: a silent minion whose lease ended comes back as
// another incarnation.
func TestRunsThatTheLeaseEndedWereNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFixture(t)
		f.start("a")
		f.tickFor(2 * leaseDuration) // the minion answers nothing
		assert.Equal(t, f.table.OpenRuns(), 0)
		f.successor("i-2", 20)
		crashes := f.takeCrashes()
		assert.Equal(t, len(crashes), 1)
		assert.DeepEqual(t, jobsOf(crashes[0]), []string{"a/1"})
	})
}

// TestPlannedEndCountedAsACrash: of a minion that was draining, and of one that had left.
func TestPlannedEndCountedAsACrash(t *testing.T) {
	for _, plan := range []func(*crashFixture){
		func(f *crashFixture) { f.incarnation.Draining = true },
		func(f *crashFixture) { f.incarnation.left = true },
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newCrashFixture(t)
			f.start("a")
			plan(f)
			f.minion.down = true
			f.tickFor(2 * leaseDuration)
			f.successor("i-2", 20)
			assert.Equal(t, len(f.takeCrashes()), 0)
			assert.Equal(t, f.counted(), int64(0))
		})
	}
}

// TestCrashWasToldToOneDispatcherOnly: the caller sends the job again to a dispatcher that
// has ordered nothing, or that connects later.
func TestCrashWasToldToOneDispatcherOnly(t *testing.T) {
	b := startFixture(t)
	b.placeRunning("a")
	other := b.dialAs("other")
	<-other
	b.minion.restart("i-2", 20)
	b.runner.Report(t.Context(), reportOfMinion("i-2", 20, 1))
	waitForCrash(t, other)
	waitForCrash(t, b.reports)
	waitForCrash(t, b.dialAs("later"))
}

// dialAs opens a session of another dispatcher and returns the reports on it.
func (b *fixture) dialAs(name string) <-chan *wirepb.RunnerReport {
	b.t.Helper()
	reports := make(chan *wirepb.RunnerReport, 1024)
	session, err := wire.Dial(b.t.Context(), b.runner.listener.Address(), wire.Options{
		Hello: func() *wirepb.Hello { return &wirepb.Hello{Role: "dispatcher", Name: name, Cluster: "c"} },
		Handler: func(_ *wire.Session, e *wirepb.Envelope) {
			if r := e.GetRunnerReport(); r != nil {
				reports <- r
			}
		},
		HeartbeatInterval: SessionHeartbeatInterval, Log: logr.Discard(),
	})
	assert.NilError(b.t, err)
	session.Start()
	b.t.Cleanup(session.Close)
	announce := &wirepb.Announce{Role: "dispatcher", Name: name, Watches: 1}
	assert.NilError(b.t, session.Send(wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_Announce{Announce: announce}}))
	return reports
}

// waitForCrash waits until the crash of i-1 under the run of job a is reported. It comes
// no later than the end of this run.
func waitForCrash(t *testing.T, reports <-chan *wirepb.RunnerReport) {
	t.Helper()
	timeout := time.After(hangTimeout)
	for {
		select {
		case r := <-reports:
			if len(r.Crashes) == 0 {
				assert.Equal(t, len(r.Ends), 0)
				continue
			}
			assert.Equal(t, r.Crashes[0].Endpoint, "i-1")
			assert.DeepEqual(t, jobsOf(r.Crashes[0]), []string{"a/1"})
			return
		case <-timeout:
			t.Fatal("the crash was not reported")
		}
	}
}

// TestStartWithoutAnswerCountedAsBegun: the minion crashed before it answered a start.
func TestStartWithoutAnswerCountedAsBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFixture(t)
		f.start("a")
		f.place("b")
		f.successor("i-2", 20)
		runs := f.takeCrashes()[0].Runs
		assert.Equal(t, len(runs), 2)
		assert.Assert(t, runs[0].Begun && !runs[1].Begun)
	})
}

// TestOldCrashesAreForgotten: dispatchers that connect are told of the newest crashes only.
func TestOldCrashesAreForgotten(t *testing.T) {
	l := newLoop(&Process{opts: Options{Scope: tally.NoopScope}})
	now := time.Now()
	for i := range maxRememberedCrashes + 1 {
		l.rememberCrash(now.Add(time.Duration(i)*time.Second), &wirepb.MinionCrash{StartedUnixMs: int64(i)})
	}
	told := l.rememberedCrashes(now)
	assert.Equal(t, len(told), maxRememberedCrashes)
	assert.Equal(t, told[0].StartedUnixMs, int64(1))
	told = l.rememberedCrashes(now.Add(crashRetention + 2*time.Second + 1))
	assert.Equal(t, told[0].StartedUnixMs, int64(3))
}

// TestStartThatFoundNobody: it has not reached the minion. Without any other answer it may have.
func TestStartThatFoundNobody(t *testing.T) {
	assert.Equal(t, startFailure(fmt.Errorf("call: %w", errRefused)), runtable.NotReceived)
	assert.Equal(t, startFailure(errNoReply), runtable.Unanswered)
}
