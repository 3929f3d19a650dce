package placement

import "time"

const (
	// averageWeight is the least weight of a new value in an average.
	averageWeight = 1.0 / 64
	// defaultRunTime is the expected run time of a task while no run time of its
	// service is known.
	defaultRunTime = 200 * time.Millisecond
	// rateSampleInterval is how long tasks must wait without a break for one
	// sample of a completion rate.
	rateSampleInterval = 500 * time.Millisecond
	// rateSampleWeight is the weight of a new sample in a completion rate.
	rateSampleWeight = 0.3
	// maxNetworkDelay bounds the network delay that a pipeline compensates for.
	// A longer delay comes from queues at the agents, not from the network.
	maxNetworkDelay = 10 * time.Millisecond
)

// average is the mean of the first 1/averageWeight values and an exponentially
// weighted moving average from then on.
type average struct {
	mean  float64
	count float64
}

func (a *average) add(x float64) {
	a.count = min(a.count+1, 1/averageWeight)
	a.mean += (x - a.mean) / a.count
}

// runTimeEstimator estimates the run times of a service's tasks. Declared run
// times may be far off. They are used, scaled, only while they predict better
// than the plain mean does.
type runTimeEstimator struct {
	run, declared            average // seconds
	meanError, declaredError average // mean absolute errors of both estimates, in seconds
}

// add records the run time and the declared run time of one task, in seconds.
// declared is 0 when none was declared.
func (r *runTimeEstimator) add(run, declared float64) {
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

// scaled returns a declared run time, scaled by the ratio of the mean run time to
// the mean declared run time.
func (r *runTimeEstimator) scaled(declared float64) float64 {
	if r.declared.mean <= 0 {
		return r.run.mean
	}
	return declared * r.run.mean / r.declared.mean
}

// estimate returns the expected run time of a task in seconds. declared is its
// declared run time in seconds, 0 when none was declared.
func (r *runTimeEstimator) estimate(declared float64) float64 {
	switch {
	case r.run.count == 0 && declared > 0:
		return declared
	case r.run.count == 0:
		return defaultRunTime.Seconds()
	case declared > 0 && r.declaredError.count > 0 && r.declaredError.mean < r.meanError.mean:
		return r.scaled(declared)
	}
	return r.run.mean
}

// completionRate measures how many tasks of a service end per second at this
// entry while others wait.
type completionRate struct {
	perSecond   float64   // 0 until the first sample
	sampleStart time.Time // start of the present sample; zero while no task waits
	sampleTasks int       // tasks that ended in the present sample
}

func (r *completionRate) reset() { r.sampleStart = time.Time{} }

func (r *completionRate) recordEnd(now time.Time) {
	if r.sampleStart.IsZero() {
		r.sampleStart, r.sampleTasks = now, 0
		return
	}
	r.sampleTasks++
	elapsed := now.Sub(r.sampleStart)
	if elapsed < rateSampleInterval {
		return
	}
	sample := float64(r.sampleTasks) / elapsed.Seconds()
	if r.perSecond == 0 {
		r.perSecond = sample
	}
	r.perSecond += rateSampleWeight * (sample - r.perSecond)
	r.sampleStart, r.sampleTasks = now, 0
}

// pipeline estimates how many tasks must be outstanding beyond the slots, so
// that no slot is idle while an outcome is on its way to this entry and the next
// task on its way to the agent. The network delay is the turnaround time minus
// the run time; the minimum of each historyTasks tasks is used.
type pipeline struct {
	runTime      average // run time in seconds
	networkDelay float64 // network delay of the last complete round, in seconds
	roundDelay   float64 // least network delay in the present round, in seconds
	roundTasks   int     // number of tasks in the present round
}

// add records the turnaround time and the run time of one task, in seconds.
func (p *pipeline) add(turnaround, run float64) {
	delay := max(0, turnaround-run)
	if p.roundTasks == 0 || delay < p.roundDelay {
		p.roundDelay = delay
	}
	p.runTime.add(run)
	p.roundTasks++
	if p.roundTasks >= historyTasks {
		p.networkDelay = min(p.roundDelay, maxNetworkDelay.Seconds())
		p.roundTasks = 0
	}
}

// extraTasks returns the number of tasks to keep outstanding beyond the slots. It
// is at most the number of slots.
func (p *pipeline) extraTasks(slots int) int {
	if p.networkDelay == 0 {
		return 0
	}
	return int(float64(slots)*min(1, p.networkDelay/max(p.runTime.mean, p.networkDelay)) + 0.5)
}

// declaredPerTask returns the mean declared run time of a job's tasks in
// seconds.
func (i *JobInfo) declaredPerTask() float64 {
	if i.Tasks == 0 {
		return 0
	}
	return float64(i.DeclaredMs) / 1000 / float64(i.Tasks)
}

func abs(x float64) float64 { return max(x, -x) }
