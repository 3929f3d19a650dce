package placement

import "time"

const (
	// learnWeight is the weight of a new run time in the averages.
	learnWeight = 1.0 / 64
	// defaultRun is assumed for a service before anything is known.
	defaultRun = 200 * time.Millisecond
	// rateWindow is how long a backlog must last for a sample of the rate.
	rateWindow = 500 * time.Millisecond
	rateWeight = 0.3
	// maxTravel bounds the time of travel that is made up for: what is longer
	// is a queue at the agents and not the network.
	maxTravel = 10 * time.Millisecond
)

// average is the mean of all values, and of the last ones when there are many.
type average struct {
	mean  float64
	count float64
}

func (a *average) add(x float64) {
	a.count = min(a.count+1, 1/learnWeight)
	a.mean += (x - a.mean) / a.count
}

// runTimes learns how long the tasks of a service run. Declared run times may
// be far off: they are used, scaled, only where they predict better than the
// plain mean does.
type runTimes struct {
	run, declared            average // seconds
	meanError, declaredError average // mean absolute errors, in seconds
}

// add learns from one task; declared is in seconds, 0 when not declared.
func (r *runTimes) add(run, declared float64) {
	if r.run.count > 0 {
		r.meanError.add(abs(run - r.run.mean))
	}
	if declared > 0 {
		if r.declared.count > 0 {
			r.declaredError.add(abs(run - r.scaled(declared)))
		}
		r.declared.add(declared)
	}
	r.run.add(run)
}

// scaled is the run time that a declared one stands for.
func (r *runTimes) scaled(declared float64) float64 {
	if r.declared.mean <= 0 {
		return r.run.mean
	}
	return declared * r.run.mean / r.declared.mean
}

// estimate is the expected run time in seconds.
func (r *runTimes) estimate(declared float64) float64 {
	switch {
	case r.run.count == 0 && declared > 0:
		return declared
	case r.run.count == 0:
		return defaultRun.Seconds()
	case declared > 0 && r.declaredError.count > 0 && r.declaredError.mean < r.meanError.mean:
		return r.scaled(declared)
	}
	return r.run.mean
}

// drainRate learns how many tasks of a service end a second at this entry
// while others wait.
type drainRate struct {
	perSecond float64
	since     time.Time // zero while nothing waits
	ended     int
}

func (r *drainRate) idle() { r.since = time.Time{} }

func (r *drainRate) end(now time.Time) {
	if r.since.IsZero() {
		r.since, r.ended = now, 0
		return
	}
	r.ended++
	elapsed := now.Sub(r.since)
	if elapsed < rateWindow {
		return
	}
	sample := float64(r.ended) / elapsed.Seconds()
	if r.perSecond == 0 {
		r.perSecond = sample
	}
	r.perSecond += rateWeight * (sample - r.perSecond)
	r.since, r.ended = now, 0
}

// pipeline learns how many tasks must be under way beyond the slots, so that
// no slot is idle while an outcome and the next task travel.
type pipeline struct {
	run    average // run time in seconds
	travel float64 // least stay beyond the run time of late, in seconds
	least  float64 // the same in the present round
	round  int     // tasks in it
}

// add learns from a task; its stay is the time from sending to the outcome.
func (p *pipeline) add(stay, run float64) {
	travel := max(0, stay-run)
	if p.round == 0 || travel < p.least {
		p.least = travel
	}
	p.run.add(run)
	p.round++
	if p.round >= historyTasks {
		p.travel = min(p.least, maxTravel.Seconds())
		p.round = 0
	}
}

// extra is the number of tasks beyond the slots, at most as many again.
func (p *pipeline) extra(slots int) int {
	if p.travel == 0 {
		return 0
	}
	return int(float64(slots)*min(1, p.travel/max(p.run.mean, p.travel)) + 0.5)
}

// declaredPerTask is the mean declared run time of a job's tasks in seconds.
func (i *JobInfo) declaredPerTask() float64 {
	if i.Tasks == 0 {
		return 0
	}
	return float64(i.DeclaredMs) / 1000 / float64(i.Tasks)
}

func abs(x float64) float64 { return max(x, -x) }
