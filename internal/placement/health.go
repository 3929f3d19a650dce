package placement

import (
	"math"
	"time"

	"endivewing/charts"
	"endivewing/internal/statechart"
)

var (
	outlierChart = statechart.MustLoad(charts.Outlier)
	probing      = outlierChart.State("trickle")
	returning    = outlierChart.State("returning")

	eventEject   = outlierChart.Event("eject")
	eventPass    = outlierChart.Event("pass")
	eventRecover = outlierChart.Event("recover")
)

const (
	// streakToEject is the number of consecutive jobs with a failed task after
	// which an agent is ejected.
	streakToEject = 2
	// raisedStreakToEject replaces streakToEject while failures are common in
	// the pool.
	raisedStreakToEject = 3
	// commonFailureRate is the failure rate of a pool above which failures are
	// common.
	commonFailureRate = 0.05
	// slowFactor is the ratio of expected to done tasks above which an agent is
	// slow. Expected is the number of tasks that its peers would have done in
	// the total time that its tasks have taken.
	slowFactor = 3.0
	// slowPrior is added to the done tasks in that ratio, so that a few long
	// tasks of an agent with a short history don't eject it.
	slowPrior = 8.0
	// requiredProbes is the number of consecutive probes that must pass before
	// an ejected agent returns.
	requiredProbes = 3
	// maxProbeRunRatio bounds the mean run time of these probes, relative to the
	// expected run times.
	maxProbeRunRatio = 2.5

	// failBackoff is the minimum backoff of an agent that is ejected for
	// failures.
	failBackoff = 10 * time.Second
	// slowBackoff is the minimum backoff of an agent that is ejected as slow.
	slowBackoff = 30 * time.Second
	maxBackoff  = 5 * time.Minute
	// probeInterval is the time from a passed probe to the next.
	probeInterval = 500 * time.Millisecond

	// maxFailureRate is the failure rate of a pool above which single agents
	// are not the cause.
	maxFailureRate = 0.3
	// outcomeWeight is the weight of a new outcome in the failure rate.
	outcomeWeight = 1.0 / 64
	// maxEjectedShare bounds the share of a pool's agents that are ejected.
	maxEjectedShare = 0.3
	// historyTasks is the number of done tasks per agent above which the sums of
	// turnaround times are halved.
	historyTasks = 64
)

// health is the health of an agent, derived from the outcomes of the tasks that
// this entry sent to it.
type health struct {
	state         statechart.State
	failedStreak  int    // consecutive jobs with a failed task
	lastFailedJob uint64 // number of the last such job
	// streakSince is when the first failure of the streak was reported, since
	// the dispatcher's epoch. Only the success of a task that was sent later
	// ends the streak.
	streakSince time.Duration
	// crashedAt is when the last crash of the minion was reported, since the
	// dispatcher's epoch.
	crashedAt      time.Duration
	probeAt        time.Time     // when the next probe may be sent
	backoff        time.Duration // mean backoff after an ejection or a failed probe; 0 after recovery
	probeDue       bool          // a probe may be sent now
	passedProbes   int           // probes passed since the last failed one
	probeRunRatios float64       // sum over these probes of run time divided by expected run time
	allowed        int           // limit of outstanding tasks while returning
	successes      int           // tasks done since allowed was last raised
	turnaroundStats
}

// turnaroundStats sums the turnaround times of the tasks at one agent or in one
// pool. The turnaround time of a task is the time from its sending to its
// outcome.
type turnaroundStats struct {
	unfinished  int           // number of outstanding tasks
	sentSum     time.Duration // sum of the send times of these tasks, since the dispatcher's epoch
	doneSeconds float64       // sum of the turnaround times of done tasks, in seconds
	doneTasks   float64       // number of done tasks; halved together with doneSeconds
}

func (h *turnaroundStats) addSent(sentAt time.Duration) {
	h.unfinished++
	h.sentSum += sentAt
}

func (h *turnaroundStats) removeSent(sentAt time.Duration) {
	h.unfinished--
	h.sentSum -= sentAt
}

// add adds the turnaround time of a done task. Above limit done tasks the sums are
// halved, so that recent tasks count more.
func (h *turnaroundStats) add(turnaround time.Duration, limit float64) {
	h.doneSeconds += turnaround.Seconds()
	h.doneTasks++
	if h.doneTasks > limit {
		h.doneSeconds /= 2
		h.doneTasks /= 2
	}
}

// totalSeconds returns the turnaround times of the done tasks plus the time that
// the outstanding ones have taken so far.
func (h *turnaroundStats) totalSeconds(now time.Duration) float64 {
	return h.doneSeconds + (time.Duration(h.unfinished)*now - h.sentSum).Seconds()
}

// meanTurnaround returns totalSeconds per done task.
func (h *turnaroundStats) meanTurnaround(now time.Duration) float64 {
	return h.totalSeconds(now) / max(h.doneTasks, 1)
}

// healthLimit returns the number of tasks that may be outstanding at the agent
// by its health.
func (a *agent) healthLimit() int {
	switch a.health.state {
	case probing:
		if a.health.probeDue {
			return 1
		}
		return 0
	case returning:
		return a.health.allowed
	}
	if a.health.failedStreak == 0 || a.pool.failing() {
		return math.MaxInt
	}
	return 1
}

// failing reports whether failures in the pool are so common that single agents
// aren't the cause.
func (p *pool) failing() bool { return p.failureRate > maxFailureRate }

func (p *pool) streakLimit() int {
	if p.failureRate > commonFailureRate {
		return raisedStreakToEject
	}
	return streakToEject
}

// mayEject reports whether another agent of the pool may be ejected. It is false
// while the pool is failing, and when no other agent would remain.
func (p *pool) mayEject() bool {
	limit := min(int(math.Ceil(maxEjectedShare*float64(p.availableAgents))), p.availableAgents-1)
	return p.ejected < limit && !p.failing()
}

// recordDone updates the agent and its pool after a task was done. expected is
// the expected run time in seconds.
func (d *Dispatcher) recordDone(a *agent, turnaround, run time.Duration, expected float64, now time.Time) {
	a.pool.failureRate -= outcomeWeight * a.pool.failureRate
	a.pool.turnarounds.add(turnaround, historyTasks*float64(max(a.pool.availableAgents, 1)))
	a.pool.pipeline.add(turnaround.Seconds(), run.Seconds())
	a.health.add(turnaround, historyTasks)
	if now.Sub(d.epoch)-turnaround >= a.health.streakSince {
		a.health.failedStreak = 0
	}
	switch a.health.state {
	case probing:
		a.health.probeRunRatios += run.Seconds() / expected
		d.recordProbe(a, a.health.probeRunRatios <= maxProbeRunRatio*requiredProbes, now)
	case returning:
		a.growAllowed(d)
	}
}

// recordFailed updates the agent and its pool after a task failed. Consecutive
// failures of one job count once in the streak, since a faulty job may fail at
// every agent.
func (d *Dispatcher) recordFailed(a *agent, job uint64, now time.Time) {
	a.pool.failureRate += outcomeWeight * (1 - a.pool.failureRate)
	if a.health.state == probing {
		d.recordProbe(a, false, now)
		return
	}
	if a.health.failedStreak > 0 && a.health.lastFailedJob == job {
		return
	}
	if a.health.failedStreak == 0 {
		a.health.streakSince = now.Sub(d.epoch)
	}
	a.health.failedStreak++
	a.health.lastFailedJob = job
	if a.health.state == returning || a.health.failedStreak >= a.pool.streakLimit() {
		d.eject(a, failBackoff, now)
	}
}

// recordCrashed updates the agent and its pool after a task failed because its minion
// crashed. A crash counts once, however many tasks it ends: the tasks that were sent
// before it was reported fell with it.
func (d *Dispatcher) recordCrashed(a *agent, job uint64, turnaround time.Duration, now time.Time) {
	at := now.Sub(d.epoch)
	if sent := at - turnaround; a.health.crashedAt > 0 && sent < a.health.crashedAt {
		return
	}
	a.health.crashedAt = at
	d.recordFailed(a, job, now)
}

// recordProbe handles the outcome of a probe. A probe that failed, or whose run
// time makes the sum of run times too long, doubles the backoff and restarts the
// count. After requiredProbes passed probes the agent returns.
func (d *Dispatcher) recordProbe(a *agent, passed bool, now time.Time) {
	h := &a.health
	if !passed {
		h.passedProbes, h.probeRunRatios = 0, 0
		h.backoff = min(2*h.backoff, maxBackoff)
		d.scheduleProbe(a, h.backoff, now)
		return
	}
	h.passedProbes++
	if h.passedProbes < requiredProbes {
		d.scheduleProbe(a, probeInterval, now)
		return
	}
	a.pool.ejected--
	a.applyEvent(eventPass)
	h.allowed, h.successes = 1, 0
	h.failedStreak = 0
	h.doneSeconds, h.doneTasks = 0, 0
}

// growAllowed raises the limit of a returning agent by one task after as many
// successes as the limit. At the limit of the policy the agent is healthy again.
func (a *agent) growAllowed(d *Dispatcher) {
	h := &a.health
	h.successes++
	if h.successes < h.allowed {
		return
	}
	h.allowed++
	h.successes = 0
	if h.allowed >= d.policy.limit(a) {
		a.applyEvent(eventRecover)
		h.backoff = 0
	}
}

// ejectIfSlow ejects an agent whose tasks take far longer than those of its
// peers.
func (d *Dispatcher) ejectIfSlow(a *agent, now time.Time) {
	if a.health.state == probing || a.health.unfinished == 0 || !a.takesWork() {
		return
	}
	at := now.Sub(d.epoch)
	expected := a.health.totalSeconds(at) / a.pool.turnarounds.meanTurnaround(at)
	if expected > slowFactor*(a.health.doneTasks+slowPrior) {
		d.eject(a, slowBackoff, now)
	}
}

// eject restricts the agent to probes and recalls the tasks that it has not
// started. It does nothing when no other agent of the pool may be ejected.
func (d *Dispatcher) eject(a *agent, backoff time.Duration, now time.Time) {
	if !a.pool.mayEject() {
		return
	}
	a.applyEvent(eventEject)
	a.pool.ejected++
	h := &a.health
	h.passedProbes, h.probeRunRatios = 0, 0
	h.backoff = min(max(backoff, 2*h.backoff), maxBackoff)
	d.scheduleProbe(a, h.backoff, now)
	d.recallFrom(a)
}

// scheduleProbe allows the next probe after a random time between half the delay
// and one and a half times the delay.
func (d *Dispatcher) scheduleProbe(a *agent, delay time.Duration, now time.Time) {
	a.health.probeDue = false
	a.health.probeAt = now.Add(delay/2 + time.Duration(d.rand.Int64N(int64(delay))))
	d.resumeBy(a.health.probeAt)
}

// applyEvent changes the health state by the outlier chart. An event without a
// transition from the present state is ignored.
func (a *agent) applyEvent(e statechart.Event) {
	next, err := outlierChart.Next(a.health.state, e)
	if err == nil {
		a.health.state = next
	}
}
