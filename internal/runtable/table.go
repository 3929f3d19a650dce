package runtable

import (
	"slices"
	"time"
)

const (
	// stopRetry is how long a stop waits for its effect before it is sent
	// again: longer than a minion's grace.
	stopRetry = 70 * time.Millisecond
	// startTries is how often a start is sent that gets no answer.
	startTries = 4
)

type state uint8

const (
	waiting state = iota
	// starting: the start was sent and not answered yet.
	starting
	running
	// stopping: a stop was asked for; whether the run had started may be open.
	stopping
)

type run struct {
	Order
	state   state
	ordered time.Time // the start was sent
	started time.Time // the start was answered; zero when it was not
	stopped time.Time // the last stop was sent
	settled time.Time // a stop was answered
	seen    bool      // the minion has listed it at work
	tries   int       // starts sent
	percent int       // of its work, by the last list
	moved   time.Time // percent grew
	told    bool      // its overrun counts in the pace
	// lost: nobody waits for its end any more.
	lost   bool
	reason string // of the stop
}

// Table holds the runs at one minion.
type Table struct {
	capacity Need
	used     Need
	queued   Need
	ready    bool
	runs     map[Name]*run
	// queue are the waiting runs by key.
	queue []*run
	// acked is the highest number of an end taken in.
	acked uint64
	// swept: a list of this minion's boot has shown no run of others.
	swept  bool
	health health
	out    Output
}

// New returns the table of a runner whose minion is not known yet.
func New() *Table { return &Table{runs: map[Name]*run{}} }

// Take returns what is to be done and forgets it.
func (t *Table) Take() Output {
	out := t.out
	t.out = Output{}
	return out
}

// Reboot notes that another life of the minion began: what ran has ended.
func (t *Table) Reboot(now time.Time) {
	for _, r := range t.sorted() {
		if r.state == waiting {
			t.finish(now, r, NotRun, ReasonMinionGone)
			continue
		}
		// A start without an answer may have been carried out.
		t.finish(now, r, Stopped, ReasonMinionGone)
	}
	t.acked = 0
	t.swept = false
	t.health = health{}
	t.out.Look = true
}

// Lapse notes that the lease of all runs has surely ended at the minion.
func (t *Table) Lapse(now time.Time) {
	for _, r := range t.sorted() {
		if r.state != waiting {
			t.finish(now, r, Stopped, ReasonLapsed)
		}
	}
}

// Describe sets what the minion offers, and whether it takes new work.
func (t *Table) Describe(now time.Time, capacity Need, ready bool) {
	t.capacity = capacity
	t.ready = ready
	if !ready {
		t.refuseWaiting(now)
		return
	}
	t.pump(now)
}

// Ready tells whether new tasks are taken.
func (t *Table) Ready() bool { return t.ready && t.swept }

// Capacity is what the minion offers in all.
func (t *Table) Capacity() Need { return t.capacity }

// Free is the room that no run takes and none waits for.
func (t *Table) Free() Need { return t.capacity.Minus(t.used).Minus(t.queued) }

// Open is the number of runs that have not ended.
func (t *Table) Open() int { return len(t.runs) }

// Running is the number of runs that may be at work at the minion.
func (t *Table) Running() int { return len(t.runs) - len(t.queue) }

// Unsettled tells whether a run waits for room, for the answer to its start, or
// for its stop.
func (t *Table) Unsettled() bool {
	for _, r := range t.runs {
		if r.state != running {
			return true
		}
	}
	return false
}

// Acked is the number of the last end taken in.
func (t *Table) Acked() uint64 { return t.acked }

// Pace is the run time of ended tasks against their estimates; 0 when unknown.
func (t *Table) Pace() float64 { return t.health.pace() }

// Suspicion is 0 for a minion that fails nothing, 1 for one that fails all.
func (t *Table) Suspicion() float64 { return t.health.suspicion }

// Place takes an order in. One for a run that is here already changes nothing.
func (t *Table) Place(now time.Time, o Order) {
	if r := t.runs[o.Name]; r != nil {
		t.placeAgain(now, r, o)
		return
	}
	switch {
	case !t.Ready():
		t.Refuse(o, ReasonNotReady)
		return
	case !o.Need.Fits(t.capacity):
		t.Refuse(o, ReasonTooLarge)
		return
	}
	r := &run{Order: o}
	t.runs[o.Name] = r
	t.queued = t.queued.Plus(o.Need)
	at, _ := slices.BinarySearchFunc(t.queue, o.Key, func(x *run, key int64) int {
		if x.Key <= key {
			return -1
		}
		return 1
	})
	t.queue = slices.Insert(t.queue, at, r)
	t.pump(now)
}

// placeAgain: the task is here. A run of another owner or number is stopped;
// the new one can come back once it has ended.
func (t *Table) placeAgain(now time.Time, r *run, o Order) {
	if r.Owner == o.Owner && r.Run == o.Run {
		return
	}
	t.stop(now, r, ReasonStopped)
	t.Refuse(o, ReasonDuplicate)
}

// Refuse answers an order that is not taken in.
func (t *Table) Refuse(o Order, reason string) {
	t.out.Ends = append(t.out.Ends, End{Name: o.Name, Run: o.Run, Owner: o.Owner, Outcome: NotRun, Reason: reason})
}

// Stop ends a run; 0 stands for any run of the task.
func (t *Table) Stop(now time.Time, owner Owner, name Name, number uint32) {
	r := t.runs[name]
	if r == nil || r.Owner != owner || number != 0 && r.Run != number {
		return
	}
	t.stop(now, r, ReasonStopped)
}

// StopJob ends all runs of a job for an owner.
func (t *Table) StopJob(now time.Time, owner Owner, job string) {
	for _, r := range t.sorted() {
		if r.Owner == owner && r.Job == job {
			t.stop(now, r, ReasonStopped)
		}
	}
}

// DropOwner ends all that a dispatcher ordered which is gone.
func (t *Table) DropOwner(now time.Time, owner Owner) {
	for _, r := range t.sorted() {
		if r.Owner == owner {
			r.lost = true
			t.stop(now, r, ReasonStopped)
		}
	}
}

func (t *Table) stop(now time.Time, r *run, reason string) {
	switch r.state {
	case waiting:
		t.finish(now, r, NotRun, reason)
	case starting, running:
		r.state = stopping
		r.reason = reason
		t.sendStop(now, r)
	}
}

func (t *Table) sendStop(now time.Time, r *run) {
	r.stopped = now
	t.out.Stops = append(t.out.Stops, Ref{r.Name, r.Run})
}

// pump starts waiting runs in their order while there is room.
func (t *Table) pump(now time.Time) {
	for len(t.queue) > 0 && t.Ready() {
		r := t.queue[0]
		if !r.Need.Fits(t.capacity.Minus(t.used)) {
			return
		}
		t.unqueue(r)
		t.used = t.used.Plus(r.Need)
		r.state = starting
		r.ordered = now
		r.tries = 1
		t.out.Starts = append(t.out.Starts, r.Order)
	}
}

func (t *Table) unqueue(r *run) {
	at := slices.Index(t.queue, r)
	t.queue = slices.Delete(t.queue, at, at+1)
	t.queued = t.queued.Minus(r.Need)
}

// finish ends a run and makes its room free.
func (t *Table) finish(now time.Time, r *run, outcome Outcome, reason string) {
	delete(t.runs, r.Name)
	if r.state == waiting {
		t.unqueue(r)
	} else {
		t.used = t.used.Minus(r.Need)
	}
	if !r.lost {
		end := End{Name: r.Name, Run: r.Run, Owner: r.Owner, Outcome: outcome, Reason: reason}
		if !r.ordered.IsZero() {
			end.Ran = now.Sub(r.ordered)
		}
		t.out.Ends = append(t.out.Ends, end)
	}
	t.pump(now)
}

func (t *Table) refuseWaiting(now time.Time) {
	for _, r := range slices.Clone(t.queue) {
		t.finish(now, r, NotRun, ReasonNotReady)
	}
}

// sorted returns the runs in an order that does not depend on the map.
func (t *Table) sorted() []*run {
	all := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int { return compareNames(a.Name, b.Name) })
	return all
}
