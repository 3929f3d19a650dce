package runtable

import (
	"slices"
	"time"
)

const (
	// stopRetryInterval is the time after which a stop without effect is sent
	// again. It is longer than a minion's grace period.
	stopRetryInterval = 70 * time.Millisecond
	// maxStartAttempts is the number of times that a start without an answer is
	// sent.
	maxStartAttempts = 4
)

type state uint8

const (
	waiting state = iota
	// starting means that the start was sent and not answered yet.
	starting
	running
	// stopping means that the run is to be stopped. It may not have started.
	stopping
)

// run is the state of an order that was accepted and has not ended.
type run struct {
	Order
	state           state
	startSentAt     time.Time // when the start was sent
	startAnsweredAt time.Time // when the start was answered or a list contained the run; zero before
	stopRequestedAt time.Time // when it was first to be stopped; zero before
	stopSentAt      time.Time // when the last stop was sent
	stopAnsweredAt  time.Time // when a stop was answered; zero before
	listed          bool      // a list contained the run as active
	startAttempts   int       // number of starts sent
	startsMissed    int       // number of these that the present incarnation has not received, as far as is known
	percent         int       // share of its work that is done, by the last list
	progressedAt    time.Time // when percent last changed
	overrunRecorded bool      // its overrun was recorded in the run time ratio
	// ownerGone is set when the dispatcher is gone, so that no end is reported.
	ownerGone  bool
	stopReason string // reason of the stop
	// atEnd are reports on other runs of the task that are due once this run has
	// ended, because their dispatchers may then place the task anywhere.
	atEnd []End
}

// Table holds the runs at one minion. It is not safe for concurrent use.
type Table struct {
	capacity Need
	used     Need
	queued   Need
	ready    bool
	runs     map[TaskID]*run
	// queue holds the waiting runs by key.
	queue []*run
	// acked is the highest number of an end that was applied.
	acked uint64
	// foreignRunsGone is set once a list that was requested after unknownSince
	// contained no foreign runs. Nothing starts before.
	foreignRunsGone bool
	// unknownSince is when the minion last began anew or its lease ended, so that
	// only a new list shows what runs there.
	unknownSince time.Time
	// foreignStops holds when the last stop of each foreign run was sent.
	foreignStops map[RunID]time.Time
	// startsDue and stopsDue are the runs whose start or stop is to be sent. A run
	// that ends before TakeOutput drops out.
	startsDue, stopsDue []*run
	// lastChange is when a waiting run last may have become able to start. It is
	// zero when nothing has changed since the last output.
	lastChange time.Time
	// gone are the reports on runs that the table does not hold, which wait until
	// the minion has no foreign runs. goneSince is when the last one was added, or
	// the lease may last have been renewed.
	gone      []End
	goneSince time.Time
	health    health
	out       Output
}

// New returns the table of a runner whose minion is not known yet.
func New() *Table {
	return &Table{runs: map[TaskID]*run{}, foreignStops: map[RunID]time.Time{}}
}

// TakeOutput starts the waiting runs that fit, then returns the output and clears
// it. Runs start nowhere else, so an input that ends several runs never ends one
// that it has started.
func (t *Table) TakeOutput() Output {
	if !t.lastChange.IsZero() {
		t.startWaiting(t.lastChange)
		t.lastChange = time.Time{}
	}
	for _, r := range t.startsDue {
		if t.holds(r) && r.state == starting {
			t.out.Starts = append(t.out.Starts, r.Order)
		}
	}
	for _, r := range t.stopsDue {
		if t.holds(r) {
			t.out.Stops = append(t.out.Stops, RunID{r.TaskID, r.Run})
		}
	}
	t.startsDue, t.stopsDue = nil, nil
	out := t.out
	t.out = Output{}
	return out
}

// holds reports whether a run has not ended.
func (t *Table) holds(r *run) bool { return t.runs[r.TaskID] == r }

// MinionRestarted handles another incarnation of the minion in the place of the
// present one. A start that is in flight to the earlier one may still be carried
// out by the later one until that has received a call under a higher fencing token,
// which the next request for lists carries. So a run is over once a list that is
// requested from now on lacks it. A run that the list contains is stopped.
func (t *Table) MinionRestarted(now time.Time) {
	for _, r := range t.sortedRuns() {
		if r.state == waiting {
			t.finish(now, r, NotRun, ReasonMinionGone)
			continue
		}
		r.minionRestarted(now)
	}
	t.acked = 0
	t.health = health{}
	t.out.Stops = nil // they are meant for the earlier incarnation
	t.RequireList(now)
}

// RequireList lets nothing start until a list that is requested from now on shows
// what runs at the minion.
func (t *Table) RequireList(now time.Time) {
	t.foreignRunsGone = false
	t.unknownSince = now
	clear(t.foreignStops)
	t.out.ListNow = true
}

// minionRestarted leaves it to the next list whether the run has ended. The restart
// stands for the answer to a stop: the earlier incarnation runs nothing any more, and
// the later one refuses the run's start once it has received that list's request.
func (r *run) minionRestarted(now time.Time) {
	if r.state != stopping {
		r.state = stopping
		r.stopReason = ReasonMinionGone
	}
	r.stopAnsweredAt = now
	r.stopSentAt = time.Time{} // the later incarnation has received no stop
	r.listed = true            // the earlier incarnation may have run it
	r.startsMissed = r.startAttempts
}

// LeaseExpired handles the end of the lease of all runs at the minion: every run that
// was sent to it has ended. Waiting runs wait for a list.
func (t *Table) LeaseExpired(now time.Time) {
	for _, r := range t.sortedRuns() {
		if r.state != waiting {
			t.finish(now, r, Stopped, r.lapseReason())
		}
	}
	t.RequireList(now)
}

// lapseReason returns why a run ended that is over with the lease. One that may not have
// begun says so: its minion may have been gone before.
func (r *run) lapseReason() string {
	if r.begun() {
		return ReasonLeaseExpired
	}
	return ReasonStartUnanswered
}

// begun reports whether the minion has answered the start or listed the run.
func (r *run) begun() bool { return r.listed || !r.startAnsweredAt.IsZero() }

// UpdateMinion sets the capacity of the minion, and whether it accepts new work.
func (t *Table) UpdateMinion(now time.Time, capacity Need, ready bool) {
	t.capacity = capacity
	t.ready = ready
	if !ready {
		t.RefuseWaiting(now, ReasonNotReady)
		return
	}
	t.refuseWaiting(now, ReasonTooLarge, func(r *run) bool { return !r.Need.Fits(capacity) })
	t.lastChange = now
}

// Ready reports whether new tasks are accepted.
func (t *Table) Ready() bool { return t.ready && t.foreignRunsGone }

// Capacity returns the total capacity of the minion.
func (t *Table) Capacity() Need { return t.capacity }

// Free returns the capacity less what active and waiting runs need. It is
// negative when more runs wait than fit.
func (t *Table) Free() Need { return t.capacity.Minus(t.used).Minus(t.queued) }

// OpenRuns returns the number of runs that have not ended.
func (t *Table) OpenRuns() int { return len(t.runs) }

// Running returns the number of runs that may be active at the minion.
func (t *Table) Running() int { return len(t.runs) - len(t.queue) }

// InTransition reports whether a run waits for free capacity, for the answer to
// its start, or for its stop to take effect.
func (t *Table) InTransition() bool {
	for _, r := range t.runs {
		if r.state != running {
			return true
		}
	}
	return false
}

// Acked returns the number of the last end that was applied.
func (t *Table) Acked() uint64 { return t.acked }

// RuntimeRatio returns the usual run time of tasks divided by their estimates; 0 means
// unknown.
func (t *Table) RuntimeRatio() float64 { return t.health.runtimeRatio() }

// FailureRate returns the weighted share of failures: 0 for a minion that fails
// nothing, 1 for one that fails everything.
func (t *Table) FailureRate() float64 { return t.health.failureRate }

// Place accepts or refuses an order. An order for a run that is already in the
// table has no effect.
func (t *Table) Place(now time.Time, o Order) {
	if !t.endEarlierSubmission(now, o) {
		t.Refuse(o, ReasonResubmitted)
		return
	}
	if r := t.runs[o.TaskID]; r != nil {
		t.placeExisting(now, r, o)
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
	t.runs[o.TaskID] = r
	t.queued = t.queued.Plus(o.Need)
	at, _ := slices.BinarySearchFunc(t.queue, o.Key, func(x *run, key int64) int {
		if x.Key <= key {
			return -1
		}
		return 1
	})
	t.queue = slices.Insert(t.queue, at, r)
	t.lastChange = now
}

// placeExisting handles an order for a task that is already in the table. A run
// of another owner or number is stopped. The new order is refused once that run
// has ended, because its dispatcher may then place the task anywhere.
func (t *Table) placeExisting(now time.Time, r *run, o Order) {
	if r.Owner == o.Owner && r.Run == o.Run {
		return
	}
	r.atEnd = append(r.atEnd, refusal(o, ReasonDuplicate))
	t.stop(now, r, ReasonStopped)
}

// Refuse reports an order as not run.
func (t *Table) Refuse(o Order, reason string) {
	t.out.Ends = append(t.out.Ends, refusal(o, reason))
}

// refusal returns the end of an order that was not run.
func refusal(o Order, reason string) End {
	return End{TaskID: o.TaskID, Run: o.Run, Owner: o.Owner, Outcome: NotRun, Reason: reason}
}

// StopJob ends all runs of a job for an owner.
func (t *Table) StopJob(now time.Time, owner Owner, job string) {
	for _, r := range t.sortedRuns() {
		if r.Owner == owner && r.Job == job {
			t.stop(now, r, ReasonStopped)
		}
	}
}

// DropOwner ends all runs of a dispatcher that is gone. Their ends are not
// reported.
func (t *Table) DropOwner(now time.Time, owner Owner) {
	for _, r := range t.sortedRuns() {
		if r.Owner == owner {
			r.ownerGone = true
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
		r.stopRequestedAt = now
		r.stopReason = reason
		t.sendStop(now, r)
	}
}

func (t *Table) sendStop(now time.Time, r *run) {
	r.stopSentAt = now
	t.stopsDue = append(t.stopsDue, r)
}

// startWaiting starts waiting runs in their order while they fit. A run that
// doesn't fit holds back the ones behind it.
func (t *Table) startWaiting(now time.Time) {
	for len(t.queue) > 0 && t.Ready() {
		r := t.queue[0]
		if !r.Need.Fits(t.capacity.Minus(t.used)) {
			return
		}
		t.dequeue(r)
		t.used = t.used.Plus(r.Need)
		r.state = starting
		r.startSentAt = now
		r.startAttempts = 1
		t.startsDue = append(t.startsDue, r)
	}
}

func (t *Table) dequeue(r *run) {
	at := slices.Index(t.queue, r)
	t.queue = slices.Delete(t.queue, at, at+1)
	t.queued = t.queued.Minus(r.Need)
}

// finish ends a run and frees its capacity. Waiting runs take it at TakeOutput.
func (t *Table) finish(now time.Time, r *run, outcome Outcome, reason string) {
	delete(t.runs, r.TaskID)
	if r.state == waiting {
		t.dequeue(r)
	} else {
		t.used = t.used.Minus(r.Need)
	}
	if !r.ownerGone {
		end := End{TaskID: r.TaskID, Run: r.Run, Owner: r.Owner, Outcome: outcome, Reason: reason}
		if !r.startSentAt.IsZero() {
			end.Ran = now.Sub(r.startSentAt)
		}
		t.out.Ends = append(t.out.Ends, end)
	}
	t.out.Ends = append(t.out.Ends, r.atEnd...)
	t.lastChange = now
}

// RefuseWaiting refuses all waiting runs.
func (t *Table) RefuseWaiting(now time.Time, reason string) {
	t.refuseWaiting(now, reason, func(*run) bool { return true })
}

// refuseWaiting refuses the waiting runs that the condition holds for.
func (t *Table) refuseWaiting(now time.Time, reason string, holds func(*run) bool) {
	for _, r := range slices.Clone(t.queue) {
		if holds(r) {
			t.finish(now, r, NotRun, reason)
		}
	}
}

// sortedRuns returns the runs by name, so that decisions are deterministic.
func (t *Table) sortedRuns() []*run {
	all := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int { return compareNames(a.TaskID, b.TaskID) })
	return all
}
