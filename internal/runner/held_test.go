package runner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"endivewing/internal/runtable"
)

// heldCall is a call that waits at a heldMinion for its answer.
type heldCall[C, A any] struct {
	call   C
	answer chan A
}

// heldMinion answers no call before the test does.
type heldMinion struct {
	mu     sync.Mutex
	starts []heldCall[StartCall, Answer]
	stops  []heldCall[StopCall, Answer]
	polls  []heldCall[PollCall, PollAnswer]
}

func hold[C, A any](ctx context.Context, m *heldMinion, calls *[]heldCall[C, A], c C) (A, error) {
	held := heldCall[C, A]{c, make(chan A, 1)}
	m.mu.Lock()
	*calls = append(*calls, held)
	m.mu.Unlock()
	select {
	case a := <-held.answer:
		return a, nil
	case <-ctx.Done():
		var none A
		return none, ctx.Err()
	}
}

func (m *heldMinion) Start(ctx context.Context, c StartCall) (Answer, error) {
	return hold(ctx, m, &m.starts, c)
}

func (m *heldMinion) Stop(ctx context.Context, c StopCall) (Answer, error) {
	return hold(ctx, m, &m.stops, c)
}

func (m *heldMinion) Poll(ctx context.Context, c PollCall) (PollAnswer, error) {
	return hold(ctx, m, &m.polls, c)
}

// take removes and returns the oldest call. Calls that timed out are among them.
func take[C, A any](t *testing.T, calls *[]heldCall[C, A]) heldCall[C, A] {
	t.Helper()
	assert.Assert(t, len(*calls) > 0)
	first := (*calls)[0]
	*calls = (*calls)[1:]
	return first
}

// steppedLoop is a loop in virtual time whose events are handled when the test says so.
type steppedLoop struct {
	*loop
	t      *testing.T
	minion *heldMinion
	// dispatcher is owner 1 and collects the ends of its runs.
	dispatcher *dispatcher
	// began is when the minion's clock was at 1000.
	began time.Time
}

// newSteppedLoop returns a loop whose minion has reported, and answered that
// nothing runs. It is used within a synctest bubble.
func newSteppedLoop(t *testing.T) *steppedLoop {
	t.Helper()
	t.Cleanup(func() { time.Sleep(time.Second) }) // the last calls time out
	minion := &heldMinion{}
	p := &Process{
		opts:   Options{Minion: minion, Log: logr.Discard(), Scope: tally.NoopScope},
		events: make(chan event, eventQueueLength), quit: make(chan struct{}), ended: make(chan struct{}),
	}
	report := Report{
		Endpoint: "i-1", Service: "s", StartedUnixMs: 10, Sequence: 1, Clock: 1000, Capacity: runtable.Need{CPU: 4000, Memory: 100},
	}
	p.minion.Store(minionRecord(&report)) // nothing is left to announce
	s := &steppedLoop{loop: newLoop(p), t: t, minion: minion, dispatcher: &dispatcher{owner: 1, silence: noSilence}, began: time.Now()}
	s.byOwner[1] = s.dispatcher
	s.beginIncarnation(s.clock.now(), report, report.Clock)
	s.step()
	s.answerPolls(1000)
	assert.Assert(t, s.table.Ready())
	return s
}

func noSilence() time.Duration { return 0 }

// step handles the events that have arrived and sends what follows from them.
func (s *steppedLoop) step() {
	synctest.Wait()
	s.handleQueued()
	s.flush(s.clock.now())
	synctest.Wait()
}

// tickFor performs ticks for a time. Calls that came in before are not answered.
func (s *steppedLoop) tickFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(runningTickInterval)
		s.handleTimer(time.Now())
		s.step()
	}
}

// start orders a run and has the minion accept it.
func (s *steppedLoop) start(job string) runtable.RunID {
	ref := s.place(job)
	held := s.minion.starts[len(s.minion.starts)-1]
	held.answer <- Answer{Status: Accepted, Clock: s.minionClock()}
	s.step()
	return ref
}

// minionClock is the reading of a clock that goes like the runner's.
func (s *steppedLoop) minionClock() int64 { return 1000 + time.Since(s.began).Milliseconds() }

// answerPolls answers the polls that have come in with the given lists.
func (s *steppedLoop) answerPolls(clock int64, running ...runtable.RunID) {
	lists := PollAnswer{Answer: Answer{Status: Accepted, Clock: clock}, StartedUnixMs: 10}
	for _, ref := range running {
		lists.Running = append(lists.Running, runtable.RunningRow{RunID: ref, Percent: 1})
	}
	for _, held := range s.minion.polls {
		held.answer <- lists
	}
	s.minion.polls = nil
	s.step()
}

// place orders a run for owner 1 and has its start sent.
func (s *steppedLoop) place(job string) runtable.RunID {
	o := runtable.Order{
		TaskID: runtable.TaskID{Job: job}, Run: 1, Owner: 1, Need: runtable.Need{CPU: 1000}, Estimate: time.Hour,
		Expires: time.Now().Add(time.Hour),
	}
	s.table.Place(s.clock.now(), o)
	s.step()
	return runtable.RunID{TaskID: o.TaskID, Run: o.Run}
}
