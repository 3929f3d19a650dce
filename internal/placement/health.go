package placement

import (
	"math"
	"time"

	"endivewing/charts"
	"endivewing/internal/statechart"
)

var (
	outlierChart = statechart.MustLoad(charts.Outlier)
	trickling    = outlierChart.State("trickle")
	returning    = outlierChart.State("returning")

	eventEject   = outlierChart.Event("eject")
	eventPass    = outlierChart.Event("pass")
	eventRecover = outlierChart.Event("recover")
)

const (
	// streakToEject is the number of jobs in a row of which a task failed, and
	// streakAmongFailures the number where failures are common.
	streakToEject       = 2
	streakAmongFailures = 3
	commonFailures      = 0.05
	// slowFactor and slowPrior: an agent is slow when its tasks have taken
	// the time in which its peers would have ended slowFactor times as many,
	// counting slowPrior more than it did.
	slowFactor = 3.0
	slowPrior  = 8.0
	// goodProbes is the number of probes that must be done before it returns,
	// and goodRun how long they may run on average, relative to its peers.
	goodProbes = 3
	goodRun    = 2.5

	failPause = 10 * time.Second
	slowPause = 30 * time.Second
	maxPause  = 5 * time.Minute
	// goodPause is the time from a good probe to the next.
	goodPause = 500 * time.Millisecond

	// poolFailing is the share of failures above which the fault is not with
	// single agents.
	poolFailing    = 0.3
	outcomeWeight  = 1.0 / 64
	maxEjectedPart = 0.3
	// historyTasks is the number of ended tasks at which a history is halved.
	historyTasks = 64
)

// health is what an entry has seen of an agent's tasks.
type health struct {
	state      statechart.State
	streak     int    // jobs in a row of which a task failed
	lastFailed uint64 // the last of them
	// streakSince is when the first failure became known. Only the success of
	// a task sent later ends the streak.
	streakSince time.Duration
	probeAt     time.Time
	pause       time.Duration
	due         bool    // a probe may be sent
	good        int     // probes done since the last bad one
	goodRuns    float64 // sum of their runs relative to the expected ones
	allowed     int     // tasks at once while returning
	successes   int     // at this number
	history
}

// history sums the stays of tasks at one agent or at all of a pool.
type history struct {
	held    int           // tasks there now
	sentSum time.Duration // of their sending times
	spent   float64       // seconds of the tasks that were done
	done    float64
}

func (h *history) sent(at time.Duration) {
	h.held++
	h.sentSum += at
}

func (h *history) left(at time.Duration) {
	h.held--
	h.sentSum -= at
}

func (h *history) add(stay time.Duration, limit float64) {
	h.spent += stay.Seconds()
	h.done++
	if h.done > limit {
		h.spent /= 2
		h.done /= 2
	}
}

// total is the time spent by tasks, with that of those still there.
func (h *history) total(now time.Duration) float64 {
	return h.spent + (time.Duration(h.held)*now - h.sentSum).Seconds()
}

// meanStay is the time a task takes, with what the unfinished ones have had.
func (h *history) meanStay(now time.Duration) float64 {
	return h.total(now) / max(h.done, 1)
}

// healthLimit is how many tasks may be at the agent by its health.
func (a *agent) healthLimit() int {
	switch a.health.state {
	case trickling:
		if a.health.due {
			return 1
		}
		return 0
	case returning:
		return a.health.allowed
	}
	if a.health.streak == 0 || a.pool.failing() {
		return math.MaxInt
	}
	return 1
}

// failing tells whether failures are so common that single agents aren't the
// cause.
func (p *pool) failing() bool { return p.failures > poolFailing }

func (p *pool) streakLimit() int {
	if p.failures > commonFailures {
		return streakAmongFailures
	}
	return streakToEject
}

// mayEject bounds the agents of a pool that are ejected at once.
func (p *pool) mayEject() bool {
	most := min(int(math.Ceil(maxEjectedPart*float64(p.members))), p.members-1)
	return p.ejected < most && !p.failing()
}

// judgeDone learns from a task that was done.
func (d *Dispatcher) judgeDone(a *agent, stay, run time.Duration, expected float64, now time.Time) {
	a.pool.failures -= outcomeWeight * a.pool.failures
	a.pool.stays.add(stay, historyTasks*float64(max(a.pool.members, 1)))
	a.pool.pipeline.add(stay.Seconds(), run.Seconds())
	a.health.add(stay, historyTasks)
	if now.Sub(d.epoch)-stay >= a.health.streakSince {
		a.health.streak = 0
	}
	switch a.health.state {
	case trickling:
		a.health.goodRuns += run.Seconds() / expected
		d.judgeProbe(a, a.health.goodRuns <= goodRun*goodProbes, now)
	case returning:
		a.grow(d)
	}
}

// judgeFailed learns from a task that failed. Tasks of one job count once: a
// job can fail everywhere by its own fault.
func (d *Dispatcher) judgeFailed(a *agent, job uint64, now time.Time) {
	a.pool.failures += outcomeWeight * (1 - a.pool.failures)
	if a.health.state == trickling {
		d.judgeProbe(a, false, now)
		return
	}
	if a.health.streak > 0 && a.health.lastFailed == job {
		return
	}
	if a.health.streak == 0 {
		a.health.streakSince = now.Sub(d.epoch)
	}
	a.health.streak++
	a.health.lastFailed = job
	if a.health.state == returning || a.health.streak >= a.pool.streakLimit() {
		d.eject(a, failPause, now)
	}
}

// judgeProbe counts good probes; a failed one, or too long runs of several,
// makes the pause longer.
func (d *Dispatcher) judgeProbe(a *agent, good bool, now time.Time) {
	h := &a.health
	if !good {
		h.good, h.goodRuns = 0, 0
		h.pause = min(2*h.pause, maxPause)
		d.probeAfter(a, h.pause, now)
		return
	}
	h.good++
	if h.good < goodProbes {
		d.probeAfter(a, goodPause, now)
		return
	}
	a.pool.ejected--
	a.move(eventPass)
	h.allowed, h.successes = 1, 0
	h.streak = 0
	h.spent, h.done = 0, 0
}

// grow lets one more task in after as many successes as are allowed at once.
func (a *agent) grow(d *Dispatcher) {
	h := &a.health
	h.successes++
	if h.successes < h.allowed {
		return
	}
	h.allowed++
	h.successes = 0
	if h.allowed >= d.policy.limit(a) {
		a.move(eventRecover)
		h.pause = 0
	}
}

// judgeSpeed ejects an agent whose tasks take far longer than its peers'.
func (d *Dispatcher) judgeSpeed(a *agent, now time.Time) {
	if a.health.state == trickling || a.health.held == 0 || !a.takesWork() {
		return
	}
	at := now.Sub(d.epoch)
	expected := a.health.total(at) / a.pool.stays.meanStay(at)
	if expected > slowFactor*(a.health.done+slowPrior) {
		d.eject(a, slowPause, now)
	}
}

// eject leaves the agent probes only, and asks back what it has not started.
func (d *Dispatcher) eject(a *agent, pause time.Duration, now time.Time) {
	if !a.pool.mayEject() {
		return
	}
	a.move(eventEject)
	a.pool.ejected++
	h := &a.health
	h.good, h.goodRuns = 0, 0
	h.pause = min(max(pause, 2*h.pause), maxPause)
	d.probeAfter(a, h.pause, now)
	d.recallFrom(a)
}

func (d *Dispatcher) probeAfter(a *agent, pause time.Duration, now time.Time) {
	a.health.due = false
	a.health.probeAt = now.Add(pause/2 + time.Duration(d.rand.Int64N(int64(pause))))
	d.wakeBy(a.health.probeAt)
}

// move steps the agent's chart.
func (a *agent) move(e statechart.Event) {
	next, err := outlierChart.Next(a.health.state, e)
	if err == nil {
		a.health.state = next
	}
}
