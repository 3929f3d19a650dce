package runtable

import (
	"slices"
	"time"
)

// modelRun is a run at work at the model minion.
type modelRun struct {
	Order
	stopped bool
}

// modelMinion follows the protocol of minions: starts are executed once, a run
// that is not higher than one that was stopped or ended is rejected, and all runs
// end with the lease.
type modelMinion struct {
	running  map[RunID]*modelRun
	highest  map[TaskID]uint32
	ended    []EndedRow
	lastEnd  uint64
	leaseEnd time.Time
	// ran holds the runs of all incarnations that were ever at work.
	ran map[RunID]bool
}

func newModelMinion() *modelMinion {
	m := &modelMinion{ran: map[RunID]bool{}}
	m.restart()
	return m
}

// restart begins another incarnation, which knows nothing.
func (m *modelMinion) restart() {
	m.running, m.highest = map[RunID]*modelRun{}, map[TaskID]uint32{}
	m.ended, m.lastEnd, m.leaseEnd = nil, 0, time.Time{}
}

// start executes a start with a deadline.
func (m *modelMinion) start(now time.Time, o Order, deadline time.Time) StartAnswer {
	m.expire(now)
	name := RunID{o.TaskID, o.Run}
	switch {
	case m.running[name] != nil:
		m.renew(deadline)
		return Started
	case now.After(deadline):
		return Rejected
	}
	m.renew(deadline)
	if o.Run <= m.highest[o.TaskID] || m.taskRuns(o.TaskID) {
		return RejectedOldRun
	}
	m.running[name] = &modelRun{Order: o}
	m.ran[name] = true
	return Started
}

func (m *modelMinion) taskRuns(task TaskID) bool {
	for name := range m.running {
		if name.TaskID == task {
			return true
		}
	}
	return false
}

// stop executes a stop. The run ends later.
func (m *modelMinion) stop(now time.Time, name RunID) {
	m.expire(now)
	m.highest[name.TaskID] = max(m.highest[name.TaskID], name.Run)
	if r := m.running[name]; r != nil {
		r.stopped = true
	}
}

// end ends a run that is at work.
func (m *modelMinion) end(name RunID, outcome Outcome) {
	delete(m.running, name)
	m.highest[name.TaskID] = max(m.highest[name.TaskID], name.Run)
	m.lastEnd++
	m.ended = append(m.ended, EndedRow{RunID: name, Number: m.lastEnd, Outcome: outcome})
}

// list executes a poll.
func (m *modelMinion) list(now, asked, deadline time.Time, acked uint64) Listing {
	m.expire(now)
	m.renew(deadline)
	m.ended = slices.DeleteFunc(m.ended, func(row EndedRow) bool { return row.Number <= acked })
	l := Listing{SentAt: asked, Ended: slices.Clone(m.ended)}
	for _, name := range m.names() {
		l.Running = append(l.Running, RunningRow{RunID: name, Percent: 1})
	}
	return l
}

func (m *modelMinion) renew(deadline time.Time) {
	if deadline.After(m.leaseEnd) {
		m.leaseEnd = deadline
	}
}

// expire ends all runs if the lease is over.
func (m *modelMinion) expire(now time.Time) {
	if !now.After(m.leaseEnd) {
		return
	}
	for _, name := range m.names() {
		m.end(name, Stopped)
	}
}

// names returns the runs at work in a fixed order.
func (m *modelMinion) names() []RunID {
	var names []RunID
	for name := range m.running {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b RunID) int {
		if c := compareNames(a.TaskID, b.TaskID); c != 0 {
			return c
		}
		return int(a.Run) - int(b.Run)
	})
	return names
}

// need returns what the runs at work take.
func (m *modelMinion) need() Need {
	var sum Need
	for _, r := range m.running {
		sum = sum.Plus(r.Need)
	}
	return sum
}
