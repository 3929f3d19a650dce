package runner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/boottime"
	"endivewing/internal/runtable"
	"endivewing/internal/wire"
)

// hangTimeout bounds waits that would otherwise block the test run.
const hangTimeout = 60 * time.Second

// fakeMinion executes every call that is addressed to it and runs tasks until they
// are stopped. Its clock shows the time since its start.
type fakeMinion struct {
	mu      sync.Mutex
	running map[runtable.RunID]bool
	ended   []runtable.EndedRow
	starts  int
	polls   int
	stops   int
	fence   uint64
	// endpoint and startedUnixMs name the present incarnation.
	endpoint      string
	startedUnixMs int64
	clockZero     time.Time
	// silent makes the minion answer no call.
	silent bool
	// holdStarts keeps starts without an answer in held, to be carried out later.
	holdStarts bool
	held       []StartCall
	// ignoreStops makes stops take no effect.
	ignoreStops bool
}

func newFakeMinion(endpoint string, startedUnixMs int64) *fakeMinion {
	return &fakeMinion{
		running: map[runtable.RunID]bool{}, endpoint: endpoint, startedUnixMs: startedUnixMs, clockZero: time.Now(),
	}
}

// update changes how the minion behaves.
func (m *fakeMinion) update(change func(m *fakeMinion)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}

// restart makes the minion another incarnation, at which nothing runs.
func (m *fakeMinion) restart(endpoint string, startedUnixMs int64) {
	m.update(func(m *fakeMinion) {
		m.endpoint, m.startedUnixMs, m.clockZero = endpoint, startedUnixMs, time.Now()
		m.running, m.ended, m.fence = map[runtable.RunID]bool{}, nil, 0
	})
}

var errNoReply = errors.New("no reply")

// receive decides whether a call is carried out. The caller holds the lock.
func (m *fakeMinion) receive(endpoint string, fence uint64) (Answer, error) {
	if m.silent {
		return Answer{}, errNoReply
	}
	if endpoint != m.endpoint {
		return Answer{Status: OtherIncarnation}, nil
	}
	answer := Answer{Status: Accepted, Clock: 1 + time.Since(m.clockZero).Milliseconds()}
	if fence < m.fence {
		answer.Status = Fenced
	}
	m.fence = max(m.fence, fence)
	return answer, nil
}

func (m *fakeMinion) Start(ctx context.Context, c StartCall) (Answer, error) {
	if m.hold(c) {
		<-ctx.Done()
		return Answer{}, ctx.Err()
	}
	return m.start(c)
}

// hold keeps a start for later and reports whether the minion does so.
func (m *fakeMinion) hold(c StartCall) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holdStarts {
		m.held = append(m.held, c)
	}
	return m.holdStarts
}

// takeHeld waits for a start that was held.
func (m *fakeMinion) takeHeld() StartCall {
	for {
		m.mu.Lock()
		held := m.held
		m.mu.Unlock()
		if len(held) > 0 {
			return held[0]
		}
		time.Sleep(time.Millisecond)
	}
}

func (m *fakeMinion) start(c StartCall) (Answer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	answer, err := m.receive(c.Endpoint, c.Fence)
	if err == nil && answer.Status == Accepted {
		m.running[c.RunID] = true
		m.starts++
	}
	return answer, err
}

func (m *fakeMinion) Stop(_ context.Context, c StopCall) (Answer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stops++
	answer, err := m.receive(c.Endpoint, c.Fence)
	if err == nil && answer.Status == Accepted && m.running[c.RunID] && !m.ignoreStops {
		delete(m.running, c.RunID)
		m.addEnd(c.RunID, runtable.Stopped)
	}
	return answer, err
}

func (m *fakeMinion) addEnd(id runtable.RunID, outcome runtable.Outcome) {
	m.ended = append(m.ended, runtable.EndedRow{RunID: id, Number: uint64(len(m.ended) + 1), Outcome: outcome})
}

func (m *fakeMinion) Poll(_ context.Context, c PollCall) (PollAnswer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.polls++
	answer, err := m.receive(c.Endpoint, c.Fence)
	if err != nil || answer.Status != Accepted {
		return PollAnswer{Answer: answer}, err
	}
	lists := PollAnswer{Answer: answer, StartedUnixMs: m.startedUnixMs, Ended: slices.Clone(m.ended)}
	for ref := range m.running {
		lists.Running = append(lists.Running, runtable.RunningRow{RunID: ref, Percent: 1})
	}
	return lists, nil
}

func (m *fakeMinion) pollCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.polls
}

func (m *fakeMinion) count() (running, starts int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.running), m.starts
}

// fixture is a runner with a fake minion and one connected dispatcher.
type fixture struct {
	t       *testing.T
	minion  *fakeMinion
	runner  *Process
	session *wire.Session
	reports chan *wirepb.RunnerReport
}

func startFixture(t *testing.T) *fixture {
	b := &fixture{t: t, minion: newFakeMinion("i-1", 10), reports: make(chan *wirepb.RunnerReport, 1024)}
	var err error
	b.runner, err = Start(Options{
		Cluster: "c", Name: "r", Zone: "z", ListenAddress: "127.0.0.1:0", Minion: b.minion,
		StopTimeout: time.Second, Log: logr.Discard(),
	})
	assert.NilError(t, err)
	t.Cleanup(func() { b.runner.Stop(context.Background()) })
	b.reportMinion(1)
	b.connect()
	return b
}

// connect opens a session of the dispatcher and waits until its minion is ready.
// The fixture uses this session from then on. An earlier one stays open.
func (b *fixture) connect() {
	b.t.Helper()
	var err error
	b.session, err = wire.Dial(b.t.Context(), b.runner.listener.Address(), wire.Options{
		Hello: func() *wirepb.Hello { return &wirepb.Hello{Role: "dispatcher", Name: "d", Cluster: "c"} },
		Handler: func(_ *wire.Session, e *wirepb.Envelope) {
			if r := e.GetRunnerReport(); r != nil {
				b.reports <- r
			}
		},
		HeartbeatInterval: SessionHeartbeatInterval, Log: logr.Discard(),
	})
	assert.NilError(b.t, err)
	b.session.Start()
	b.t.Cleanup(b.session.Close)
	b.send(&wirepb.Envelope{Body: &wirepb.Envelope_Announce{Announce: &wirepb.Announce{Role: "dispatcher", Name: "d", Watches: 1}}})
	b.waitForReport(func(r *wirepb.RunnerReport) bool { return r.Room.Ready })
}

// reportMinion sends a report of the minion to the runner.
func (b *fixture) reportMinion(sequence uint64) {
	b.runner.Report(b.t.Context(), reportOfMinion("i-1", 10, sequence))
}

func reportOfMinion(endpoint string, startedUnixMs int64, sequence uint64) Report {
	return Report{
		Endpoint: endpoint, Service: "s", StartedUnixMs: startedUnixMs, Sequence: sequence, Clock: 1,
		Capacity: runtable.Need{CPU: 4000, Memory: 100},
	}
}

func (b *fixture) send(e *wirepb.Envelope) { assert.NilError(b.t, b.session.Send(wire.LaneTraffic, e)) }

// placeTask orders a task. age is how long ago the order was made.
func (b *fixture) placeTask(job string, age time.Duration) {
	b.place(job, func(p *wirepb.PlaceTasks) { p.StampMs = (boottime.Now() - age).Milliseconds() })
}

// place orders a task with one run, made now and of one core unless change says otherwise.
func (b *fixture) place(job string, change func(p *wirepb.PlaceTasks)) {
	p := &wirepb.PlaceTasks{
		Job: job, Need: &wirepb.Need{CpuMilli: 1000}, Tasks: []*wirepb.TaskRun{{Run: 1}}, EstimateMs: 3_600_000, WaitMs: 40,
		StampMs: boottime.Now().Milliseconds(),
	}
	change(p)
	b.send(&wirepb.Envelope{Body: &wirepb.Envelope_PlaceTasks{PlaceTasks: p}})
}

// waitForReport reads reports until one matches.
func (b *fixture) waitForReport(matches func(*wirepb.RunnerReport) bool) {
	b.t.Helper()
	for {
		select {
		case r := <-b.reports:
			if matches(r) {
				return
			}
		case <-time.After(hangTimeout):
			b.t.Fatal("no matching report arrived")
		}
	}
}

// waitForMinion waits until the minion's numbers of running tasks and of starts
// satisfy a condition.
func (b *fixture) waitForMinion(satisfied func(running, starts int) bool) {
	b.t.Helper()
	for end := time.Now().Add(hangTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if satisfied(b.minion.count()) {
			return
		}
	}
	b.t.Fatal("the minion did not reach the expected state")
}

// TestOldOrdersAreRefused guards against running an order that was delayed in a
// suspended process or on an interrupted connection.
func TestOldOrdersAreRefused(t *testing.T) {
	b := startFixture(t)
	b.placeTask("old", 2*maxOrderAge)
	b.waitForReport(func(r *wirepb.RunnerReport) bool {
		return len(r.Ends) == 1 && r.Ends[0].Outcome == wirepb.RunOutcome_RUN_OUTCOME_NOT_RUN && r.Ends[0].Reason == runtable.ReasonStale
	})
	b.placeTask("fresh", 0)
	b.waitForMinion(func(running, starts int) bool { return running == 1 && starts == 1 })
}

// TestRunsOfALostDispatcherAreStopped guards against tasks that run twice: callers
// of a lost dispatcher may retry elsewhere.
func TestRunsOfALostDispatcherAreStopped(t *testing.T) {
	b := startFixture(t)
	b.placeTask("a", 0)
	b.waitForMinion(func(running, _ int) bool { return running == 1 })
	b.session.Close()
	b.waitForMinion(func(running, _ int) bool { return running == 0 })
}

// TestLateReportOfIncarnationThatLeft guards against a delayed report that arrives
// after the minion has left. Such a report must not bring the incarnation back
// into use. A report made after the leave does.
func TestLateReportOfIncarnationThatLeft(t *testing.T) {
	b := startFixture(t)
	b.reportMinion(3)
	b.runner.Leave(t.Context(), "i-1")
	b.reportMinion(2)
	assert.Assert(t, !b.runner.Dump().(Dump).Known)
	b.reportMinion(3)
	assert.Assert(t, !b.runner.Dump().(Dump).Known)
	b.reportMinion(4)
	assert.Assert(t, b.runner.Dump().(Dump).Known)
}
