package runtable

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	workloadTasks  = 4
	workloadOwners = 2
	workloadLease  = 900 * time.Millisecond
	workloadCPU    = 10
	// workloadSettle bounds the rounds after which all runs must have ended.
	workloadSettle = 100
)

type callKind uint8

const (
	startCall callKind = iota
	stopCall
	listCall
)

// call is a call to the model minion.
type call struct {
	kind        callKind
	order       Order
	name        RunID
	incarnation int
	sentAt      time.Time
	deadline    time.Time
	acked       uint64
	executed    bool
	start       StartAnswer
	list        Listing
	// gone is set once the runner counts the call as unanswered. The minion may
	// still execute it.
	gone bool
}

// ownedRun is a run as its dispatcher knows it.
type ownedRun struct {
	RunID
	owner Owner
}

// workload sends random inputs to a table, and the table's calls to a model
// minion, which executes and answers them in any order. It checks the table's
// output against what is at work at the minion.
type workload struct {
	t           *rapid.T
	table       *Table
	minion      *modelMinion
	now         time.Time
	incarnation int
	calls       []*call
	lastRun     map[TaskID]uint32
	// owners are the connected dispatchers. One that is dropped comes back as
	// another owner.
	owners    [workloadOwners]Owner
	lastOwner Owner
	// open holds the accepted orders that have not ended.
	open map[ownedRun]bool
	// over holds the runs that were reported as ended.
	over map[RunID]bool
	// latestDeadline is the latest lease that a call to this incarnation asked for.
	latestDeadline time.Time
	// capacity is the CPU of the minion. largest holds for each run that was started
	// the largest capacity since then.
	capacity int
	largest  map[RunID]int
}

func newWorkload(t *rapid.T) *workload {
	w := &workload{
		t: t, table: New(), minion: newModelMinion(), now: at(0),
		lastRun: map[TaskID]uint32{}, open: map[ownedRun]bool{}, over: map[RunID]bool{}, largest: map[RunID]int{},
	}
	for at := range w.owners {
		w.connect(at)
	}
	w.table.MinionRestarted(w.now)
	w.changeCapacity(workloadCPU)
	w.handleOutput()
	w.settle()
	return w
}

// changeCapacity lets the minion shrink or grow.
func (w *workload) changeCapacity(cpu int) {
	w.capacity = cpu
	for name := range w.largest {
		w.largest[name] = max(w.largest[name], cpu)
	}
	w.table.UpdateMinion(w.now, Need{CPU: int64(cpu)}, true)
}

func (w *workload) pick(label string, low, high int) int {
	return rapid.IntRange(low, high).Draw(w.t, label)
}

func (w *workload) task() TaskID { return name("j", uint32(w.pick("task", 0, workloadTasks-1))) }

func (w *workload) owner() Owner { return w.owners[w.pick("owner", 0, workloadOwners-1)] }

func (w *workload) connect(at int) {
	w.lastOwner++
	w.owners[at] = w.lastOwner
}

// place orders the next run of a task, also while another one is open.
func (w *workload) place() {
	task := w.task()
	w.lastRun[task]++
	o := Order{
		TaskID: task, Run: w.lastRun[task], Owner: w.owner(), Need: Need{CPU: int64(w.pick("cpu", 1, workloadCPU))},
		Key: int64(w.pick("key", 0, 3)), Expires: w.now.Add(time.Duration(w.pick("wait", 1, 400)) * time.Millisecond),
	}
	w.open[ownedRun{ref(o), o.Owner}] = true
	w.table.Place(w.now, o)
}

func (w *workload) dropOwner() {
	at := w.pick("owner", 0, workloadOwners-1)
	owner := w.owners[at]
	w.connect(at)
	for r := range w.open {
		if r.owner == owner {
			delete(w.open, r)
		}
	}
	w.table.DropOwner(w.now, owner)
}

func (w *workload) advance() {
	w.now = w.now.Add(time.Duration(w.pick("ms", 1, 300)) * time.Millisecond)
	w.minion.expire(w.now)
}

// checkLease handles the end of the lease as the runner sees it.
func (w *workload) checkLease() {
	if w.now.After(w.latestDeadline) && w.table.Running() > 0 {
		w.table.LeaseExpired(w.now)
	}
}

// restart replaces the minion by one of another name.
func (w *workload) restart() {
	w.incarnation++
	w.minion.restart()
	w.latestDeadline = time.Time{}
	w.table.MinionRestarted(w.now)
}

// endRun ends a run at the minion by itself, or because it was stopped.
func (w *workload) endRun() {
	names := w.minion.names()
	if len(names) == 0 {
		return
	}
	at := names[w.pick("run", 0, len(names)-1)]
	outcome := rapid.SampledFrom([]Outcome{Done, Failed}).Draw(w.t, "outcome")
	if w.minion.running[at].stopped {
		outcome = Stopped
	}
	w.minion.end(at, outcome)
}

// execute has the minion execute a call, in any order. A call to an earlier
// incarnation is refused.
func (w *workload) execute(c *call) {
	c.executed = true
	if c.incarnation != w.incarnation {
		c.start = Rejected
		return
	}
	switch c.kind {
	case startCall:
		c.start = w.minion.start(w.now, c.order, c.deadline)
		assert.Assert(w.t, w.minion.need().CPU <= int64(w.largest[c.name]), "the minion is overloaded")
	case stopCall:
		w.minion.stop(w.now, c.name)
	case listCall:
		c.list = w.minion.list(w.now, c.sentAt, c.deadline, c.acked)
	}
	for name := range w.minion.running {
		assert.Assert(w.t, !w.over[name], "%v begins after it was reported as ended", name)
	}
}

// answer hands the answer of an executed call to the table.
func (w *workload) answer(c *call) {
	if c.gone || c.incarnation != w.incarnation {
		return
	}
	switch c.kind {
	case startCall:
		w.table.StartAnswered(w.now, c.name, c.start)
	case stopCall:
		w.table.StopAnswered(w.now, c.name)
	case listCall:
		w.table.ApplyListing(w.now, c.list)
	}
}

// lose counts a call as unanswered, whether or not it was executed.
func (w *workload) lose(c *call) {
	if c.gone {
		return
	}
	c.gone = true
	if c.kind == startCall && c.incarnation == w.incarnation {
		w.table.StartAnswered(w.now, c.name, Unanswered)
	}
}

// missAny has nobody listen at the minion's address when a start arrives, so that the
// minion never receives it.
func (w *workload) missAny() {
	c := w.pickCall(func(c *call) bool { return c.kind == startCall && !c.executed && !c.gone })
	if c == nil {
		return
	}
	w.remove(c)
	if c.incarnation == w.incarnation {
		w.table.StartAnswered(w.now, c.name, NotReceived)
	}
}

// pickCall draws a call that the condition holds for; nil if there is none.
func (w *workload) pickCall(holds func(*call) bool) *call {
	var fitting []*call
	for _, c := range w.calls {
		if holds(c) {
			fitting = append(fitting, c)
		}
	}
	if len(fitting) == 0 {
		return nil
	}
	return fitting[w.pick("call", 0, len(fitting)-1)]
}

func (w *workload) remove(gone *call) {
	var rest []*call
	for _, c := range w.calls {
		if c != gone {
			rest = append(rest, c)
		}
	}
	w.calls = rest
}

func (w *workload) executeAny() {
	if c := w.pickCall(func(c *call) bool { return !c.executed }); c != nil {
		w.execute(c)
	}
}

func (w *workload) answerAny() {
	if c := w.pickCall(func(c *call) bool { return c.executed }); c != nil {
		w.answer(c)
		w.remove(c)
	}
}

func (w *workload) loseAny() {
	if c := w.pickCall(func(c *call) bool { return !c.gone }); c != nil {
		w.lose(c)
	}
}

func (w *workload) send(c *call) {
	c.incarnation, c.sentAt = w.incarnation, w.now
	w.calls = append(w.calls, c)
}

// deadline returns the lease that a call asks for.
func (w *workload) deadline() time.Time {
	w.latestDeadline = w.now.Add(workloadLease)
	return w.latestDeadline
}

func (w *workload) poll() {
	c := &call{kind: listCall, acked: w.table.Acked()}
	if w.table.Running() > 0 {
		c.deadline = w.deadline()
	}
	w.send(c)
}

// handleOutput checks the output and sends its calls.
func (w *workload) handleOutput() {
	out := w.table.TakeOutput()
	ended := map[RunID]bool{}
	for _, end := range out.Ends {
		ended[RunID{end.TaskID, end.Run}] = true
		w.checkEnd(end)
	}
	for _, o := range out.Starts {
		assert.Assert(w.t, !ended[ref(o)], "%v starts and ends in one output", ref(o))
		w.largest[ref(o)] = max(w.largest[ref(o)], w.capacity)
		w.send(&call{kind: startCall, order: o, name: ref(o), deadline: w.deadline()})
	}
	for _, name := range out.Stops {
		w.send(&call{kind: stopCall, name: name})
	}
	if out.ListNow {
		w.poll()
	}
	w.checkCapacity()
	w.checkReceived()
}

// checkReceived checks that a crash now counts for every run at work that the table
// holds.
func (w *workload) checkReceived() {
	received := received(w.table)
	for _, name := range w.minion.names() {
		if r := w.table.find(name); r != nil {
			assert.Assert(w.t, slices.Contains(received, name), "%v is at work and not received", name)
		}
	}
}

// checkEnd checks that a run that is reported as ended is not at work, was open
// and, if it counts as not run, was never at work.
func (w *workload) checkEnd(end End) {
	name := RunID{end.TaskID, end.Run}
	owned := ownedRun{name, end.Owner}
	assert.Assert(w.t, w.minion.running[name] == nil, "%v is reported as ended (%d, %s) and at work", name, end.Outcome, end.Reason)
	if slices.Contains(w.owners[:], end.Owner) {
		assert.Assert(w.t, w.open[owned], "%v is reported twice", name)
	}
	if end.Outcome == NotRun {
		assert.Assert(w.t, !w.minion.ran[name], "%v was at work and counts as not run (%s)", name, end.Reason)
	}
	delete(w.open, owned)
	w.over[name] = true
}

// checkCapacity checks the table's sums against its runs.
func (w *workload) checkCapacity() {
	var used, queued Need
	for _, r := range w.table.runs {
		if r.state == waiting {
			queued = queued.Plus(r.Need)
		} else {
			used = used.Plus(r.Need)
		}
	}
	assert.Equal(w.t, w.table.used, used)
	assert.Equal(w.t, w.table.queued, queued)
}

// settle has the minion execute and answer all calls until nothing is open.
func (w *workload) settle() {
	w.changeCapacity(workloadCPU)
	for range workloadSettle {
		for _, c := range w.calls {
			if !c.executed {
				w.execute(c)
			}
			w.now = w.now.Add(1)
			w.answer(c)
		}
		w.calls = nil
		w.poll()
		for _, name := range w.minion.names() {
			w.minion.end(name, Done)
		}
		w.now = w.now.Add(20 * time.Millisecond)
		w.checkLease()
		w.table.Tick(w.now)
		w.handleOutput()
	}
	assert.Equal(w.t, w.table.OpenRuns(), 0)
	assert.Equal(w.t, len(w.open), 0)
	assert.Assert(w.t, w.table.Ready())
	assert.Equal(w.t, w.table.Free(), Need{CPU: workloadCPU})
}

// stopRun stops the run of a task if it belongs to the owner.
func (w *workload) stopRun(owner Owner, name TaskID) {
	if r := w.table.runs[name]; r != nil && r.Owner == owner && !r.ownerGone {
		w.table.ConfirmEnd(w.now, owner, RunID{name, r.Run})
	}
}

// step performs one random action at a time of its own.
func (w *workload) step() {
	w.now = w.now.Add(1)
	switch w.pick("action", 0, 17) {
	case 0, 1, 2:
		w.place()
	case 3:
		w.stopRun(w.owner(), w.task())
	case 4:
		w.table.StopJob(w.now, w.owner(), "j")
	case 5:
		w.dropOwner()
	case 6:
		w.advance()
		w.checkLease()
		w.table.Tick(w.now)
	case 7, 8, 9:
		w.executeAny()
	case 10, 11:
		w.answerAny()
	case 12:
		w.loseAny()
	case 13:
		w.endRun()
	case 14:
		w.poll()
	case 15:
		if w.pick("restart", 0, 3) == 0 {
			w.restart()
		}
	case 16:
		w.changeCapacity(w.pick("capacity", 0, workloadCPU))
	case 17:
		w.missAny()
	}
	if w.pick("flush", 0, 2) > 0 { // several inputs may share an output
		w.now = w.now.Add(1)
		w.handleOutput()
	}
}

// TestNoReportedEndIsAtWork checks over random inputs that a run that was reported as
// ended is not at work then or later, that no output holds a start and an end of a
// run, that capacity adds up and that every order ends.
func TestNoReportedEndIsAtWork(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorkload(rt)
		for range w.pick("steps", 1, 120) {
			w.step()
		}
		w.handleOutput()
		w.settle()
	})
}
