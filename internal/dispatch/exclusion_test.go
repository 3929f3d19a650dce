package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endivewing/internal/runtable"
)

// TestATaskIsNeverAtWorkTwice: one dispatcher and the tables of two or three
// runners, with emulated minions. Messages, calls, ends, losses of sessions and
// reconnects come in any order. A session that one side has lost lives on at the
// other for a while, and its messages still arrive.
func TestATaskIsNeverAtWorkTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newExclusionWorld(rt)
		for range 250 {
			w.step()
		}
	})
}

// exclusionWorld is a dispatcher with its runners.
type exclusionWorld struct {
	t *rapid.T
	// rand draws the actions: all of them equally likely, unlike rapid's.
	rand       *rand.Rand
	now        time.Time
	dispatcher *Dispatcher
	runners    []*modelRunner
	jobs       int
	lastID     RunnerID
	// atWork names the minion at which a task is at work.
	atWork map[runtable.TaskID]string
}

// modelRunner is a runner with its minion.
type modelRunner struct {
	name  string
	world *exclusionWorld
	table *runtable.Table
	// session is the session that the dispatcher has; nil while it has none.
	session *modelSession
	// sessions are the sessions that have not ended at the runner.
	sessions []*modelSession
	// lost are the sessions that the dispatcher has lost and whose runs may not
	// have ended.
	lost      []*modelSession
	lastOwner runtable.Owner
	// calls are the calls that the minion has not executed.
	calls []func()
	// running and ended are the minion's lists. highest holds the highest number
	// of a run that was stopped or ended there.
	running map[runtable.RunID]bool
	ended   []runtable.EndedRow
	highest map[runtable.TaskID]uint32
}

// modelSession is a session with its messages on the way.
type modelSession struct {
	id      RunnerID
	owner   runtable.Owner
	placed  uint64
	toward  []func() // to the runner
	reports []func() // to the dispatcher
	// reported is set once a report has arrived.
	reported bool
	// lostAt is when the dispatcher lost it.
	lostAt time.Time
}

func newExclusionWorld(t *rapid.T) *exclusionWorld {
	w := &exclusionWorld{
		t: t, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: begin, dispatcher: New("z"), atWork: map[runtable.TaskID]string{},
	}
	for i := range 2 + w.rand.IntN(2) {
		r := &modelRunner{
			name: fmt.Sprint("m", i), world: w, table: runtable.New(),
			running: map[runtable.RunID]bool{}, highest: map[runtable.TaskID]uint32{},
		}
		r.table.MinionRestarted(w.now)
		r.table.UpdateMinion(w.now, Need{CPU: 10_000, Memory: 1000}, true)
		r.list()
		w.runners = append(w.runners, r)
		r.connect()
	}
	for _, r := range w.runners {
		r.deliverAll()
	}
	return w
}

// exclusionActions are the actions, some of which are more frequent.
var exclusionActions = []string{
	"submit", "submit", "order", "order", "order", "order", "report", "report", "report", "report", "call", "call", "call", "call",
	"list", "list", "end", "lose", "notice", "connect", "connect", "wait", "cancel",
}

// step performs one action and passes on what follows from it.
func (w *exclusionWorld) step() {
	r := w.runners[w.rand.IntN(len(w.runners))]
	switch exclusionActions[w.rand.IntN(len(exclusionActions))] {
	case "submit":
		w.submit()
	case "order":
		r.deliverOrder()
	case "report":
		r.deliverReport()
	case "call":
		r.executeCall()
	case "end":
		r.endRun()
	case "list":
		r.list()
	case "lose":
		r.lose()
	case "notice":
		r.notice()
	case "connect":
		r.connect()
	case "wait":
		w.wait([]time.Duration{time.Millisecond, 30 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second}[w.rand.IntN(4)])
	case "cancel":
		w.dispatcher.Cancel(w.now, fmt.Sprint("job", 1+w.rand.IntN(3*w.jobs+1)))
	}
	w.flush()
}

func (w *exclusionWorld) submit() {
	if w.dispatcher.Jobs() >= 6 {
		return
	}
	w.jobs++
	id := w.jobs
	if w.rand.IntN(3) == 0 {
		id = 1 + w.rand.IntN(w.jobs)
	}
	j := &Job{
		ID: fmt.Sprint("job", id), Service: "s", MaxAttempts: 3, Arrived: w.now, Deadline: w.now.Add(time.Minute),
		Steps: []Step{step(1+w.rand.IntN(3), 2000)},
	}
	j.SetObjective(2, 10*time.Second)
	w.dispatcher.Submit(w.now, j)
}

// wait lets time pass. It stands for the bound that LostRunTimeout relies on: a
// runner whose session was lost for so long has noticed that, and has ended the
// runs. The bound does not hold for a runner that is connected again.
func (w *exclusionWorld) wait(d time.Duration) {
	w.now = w.now.Add(d)
	for _, r := range w.runners {
		if r.session == nil || !r.session.reported {
			r.endLost()
		}
		r.table.Tick(w.now)
	}
	w.dispatcher.Tick(w.now)
}

// flush sends the outputs of the dispatcher and of the tables.
func (w *exclusionWorld) flush() {
	out := w.dispatcher.TakeOutput()
	for _, p := range out.Placements {
		w.sendOrder(p.Runner, func(r *modelRunner, s *modelSession) { r.place(s, p) })
	}
	for _, stop := range out.Stops {
		w.sendOrder(stop.Runner, func(r *modelRunner, s *modelSession) { r.stop(s, stop) })
	}
	for _, r := range w.runners {
		r.flush()
	}
}

// sendOrder sends a message on the session with the given ID.
func (w *exclusionWorld) sendOrder(id RunnerID, handle func(r *modelRunner, s *modelSession)) {
	for _, r := range w.runners {
		if s := r.session; s != nil && s.id == id {
			s.toward = append(s.toward, func() { handle(r, s) })
		}
	}
}

// connect opens a session unless the dispatcher has one.
func (r *modelRunner) connect() {
	if r.session != nil {
		return
	}
	r.world.lastID++
	s := &modelSession{id: r.world.lastID}
	r.session = s
	s.toward = append(s.toward, func() { r.announce(s) })
	r.sessions = append(r.sessions, s)
}

// announce handles the announcement of the dispatcher, which ends its earlier
// sessions.
func (r *modelRunner) announce(s *modelSession) {
	for _, earlier := range slices.Clone(r.sessions) {
		if earlier != s && earlier.id < s.id {
			r.end(earlier)
		}
	}
	r.lastOwner++
	s.owner = r.lastOwner
	r.report(s, nil)
}

// lose ends the session at the dispatcher. Reports on the way are lost, messages
// to the runner still arrive.
func (r *modelRunner) lose() {
	if s := r.session; s != nil {
		r.session = nil
		s.lostAt, s.reports = r.world.now, nil
		r.lost = append(r.lost, s)
		r.world.dispatcher.RunnerLost(r.world.now, s.id)
	}
}

// notice ends a session at the runner that the dispatcher has lost.
func (r *modelRunner) notice() {
	for _, s := range r.sessions {
		if s != r.session {
			r.end(s)
			return
		}
	}
}

// end ends a session at the runner.
func (r *modelRunner) end(s *modelSession) {
	r.sessions = slices.DeleteFunc(r.sessions, func(x *modelSession) bool { return x == s })
	s.toward = nil
	if s.owner != 0 {
		r.table.DropOwner(r.world.now, s.owner)
	}
}

// endLost ends the runs of sessions that were lost for LostRunTimeout.
func (r *modelRunner) endLost() {
	if len(r.lost) == 0 || r.world.now.Sub(r.lost[0].lostAt) < LostRunTimeout {
		return
	}
	for _, s := range r.lost {
		r.end(s)
	}
	r.lost = nil
	r.settle()
}

// deliverOrder delivers the next message on one of the sessions. Messages of
// different sessions may overtake each other.
func (r *modelRunner) deliverOrder() {
	if len(r.sessions) == 0 {
		return
	}
	if s := r.sessions[r.world.rand.IntN(len(r.sessions))]; len(s.toward) > 0 {
		handle := s.toward[0]
		s.toward = s.toward[1:]
		handle()
	}
}

func (r *modelRunner) deliverReport() {
	if s := r.session; s != nil && len(s.reports) > 0 {
		handle := s.reports[0]
		s.reports = s.reports[1:]
		handle()
	}
}

// deliverAll delivers the first messages of a session in both directions.
func (r *modelRunner) deliverAll() {
	r.deliverOrder()
	r.flush()
	r.deliverReport()
}

func (r *modelRunner) place(s *modelSession, p Placement) {
	for _, run := range p.Runs {
		s.placed++
		r.table.Place(r.world.now, runtable.Order{
			TaskID: run.TaskID, Run: run.Run, Owner: s.owner, Need: p.Job.Steps[p.Step].Need,
			Estimate: time.Hour, Expires: r.world.now.Add(p.Wait),
		})
	}
}

func (r *modelRunner) stop(s *modelSession, stop Stop) {
	if len(stop.Runs) == 0 {
		r.table.StopJob(r.world.now, s.owner, stop.Job)
	}
	for _, run := range stop.Runs {
		r.table.ConfirmEnd(r.world.now, s.owner, run)
	}
}

// flush queues the calls to the minion, and the reports of ends.
func (r *modelRunner) flush() {
	out := r.table.TakeOutput()
	for _, o := range out.Starts {
		r.calls = append(r.calls, func() { r.start(runtable.RunID{TaskID: o.TaskID, Run: o.Run}) })
	}
	for _, run := range out.Stops {
		r.calls = append(r.calls, func() { r.stopRun(run) })
	}
	if len(out.Ends) > 0 {
		for _, s := range r.sessions {
			ends := slices.DeleteFunc(slices.Clone(out.Ends), func(e runtable.End) bool { return e.Owner != s.owner })
			r.report(s, ends)
		}
	}
}

// report sends a report, which is lost if the dispatcher has lost the session.
func (r *modelRunner) report(s *modelSession, ends []runtable.End) {
	if s != r.session {
		return
	}
	status := minionStatus(r.name, r.table.Free().CPU)
	status.Placed, status.Ready = s.placed, r.table.Ready()
	s.reports = append(s.reports, func() {
		s.reported = true
		for _, e := range ends {
			end := TaskEnd{RunID: runtable.RunID{TaskID: e.TaskID, Run: e.Run}, Outcome: e.Outcome, Reason: e.Reason}
			r.world.dispatcher.RunEnded(r.world.now, s.id, end)
		}
		r.world.dispatcher.UpdateRunner(r.world.now, s.id, status)
	})
}

// executeCall executes one of the calls. Calls may overtake each other.
func (r *modelRunner) executeCall() {
	if len(r.calls) == 0 {
		return
	}
	i := r.world.rand.IntN(len(r.calls))
	call := r.calls[i]
	r.calls = slices.Delete(r.calls, i, i+1)
	call()
}

// start starts a run at the minion.
func (r *modelRunner) start(run runtable.RunID) {
	if run.Run <= r.highest[run.TaskID] {
		r.table.StartAnswered(r.world.now, run, runtable.RejectedOldRun)
		return
	}
	if !r.running[run] {
		assert.Equal(r.world.t, r.world.atWork[run.TaskID], "", "%v starts at %s as well", run, r.name)
		r.world.atWork[run.TaskID] = r.name
		r.running[run] = true
	}
	r.table.StartAnswered(r.world.now, run, runtable.Started)
}

func (r *modelRunner) stopRun(run runtable.RunID) {
	r.finish(run, runtable.Stopped)
	r.highest[run.TaskID] = max(r.highest[run.TaskID], run.Run)
	r.table.StopAnswered(r.world.now, run)
}

// finish ends a run at the minion if it is at work there.
func (r *modelRunner) finish(run runtable.RunID, outcome runtable.Outcome) {
	if !r.running[run] {
		return
	}
	delete(r.running, run)
	delete(r.world.atWork, run.TaskID)
	r.highest[run.TaskID] = max(r.highest[run.TaskID], run.Run)
	number := uint64(len(r.ended) + 1)
	r.ended = append(r.ended, runtable.EndedRow{RunID: run, Number: number, Outcome: outcome})
}

// sortedRunning returns the runs at the minion in an order that does not depend on
// the map.
func (r *modelRunner) sortedRunning() []runtable.RunID {
	var runs []runtable.RunID
	for run := range r.running {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b runtable.RunID) int {
		return slices.Compare([]byte(fmt.Sprint(a)), []byte(fmt.Sprint(b)))
	})
	return runs
}

// endRun ends a run by itself.
func (r *modelRunner) endRun() {
	if runs := r.sortedRunning(); len(runs) > 0 {
		outcome := []runtable.Outcome{runtable.Done, runtable.Done, runtable.Failed}[r.world.rand.IntN(3)]
		r.finish(runs[r.world.rand.IntN(len(runs))], outcome)
	}
}

// list passes the minion's lists to the table. The request was sent just before.
func (r *modelRunner) list() {
	l := runtable.Listing{SentAt: r.world.now, Ended: r.ended}
	for _, run := range r.sortedRunning() {
		l.Running = append(l.Running, runtable.RunningRow{RunID: run, Percent: 1})
	}
	r.world.now = r.world.now.Add(time.Millisecond)
	r.table.ApplyListing(r.world.now, l)
}

// settle executes all calls until the runs of sessions that have ended are over.
func (r *modelRunner) settle() {
	for range 3 {
		r.flush()
		for len(r.calls) > 0 {
			call := r.calls[0]
			r.calls = r.calls[1:]
			call()
		}
		r.list()
	}
	r.flush()
}
