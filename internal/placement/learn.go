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
)

// runTimes learns how long the tasks of a service run. Declared run times may
// be far off: they are used, scaled, only where they predict better than the
// plain mean does.
type runTimes struct {
	known                    bool
	mean                     float64 // seconds
	declared                 float64 // mean declared seconds
	meanError, declaredError float64 // mean absolute errors, in seconds
}

// add learns from one task; declared is in seconds, 0 when not declared.
func (r *runTimes) add(run, declared float64) {
	if !r.known {
		*r = runTimes{known: true, mean: run, declared: declared}
		return
	}
	r.meanError += learnWeight * (abs(run-r.mean) - r.meanError)
	if declared > 0 {
		r.declaredError += learnWeight * (abs(run-r.scaled(declared)) - r.declaredError)
		r.declared += learnWeight * (declared - r.declared)
	}
	r.mean += learnWeight * (run - r.mean)
}

// scaled is the run time that a declared one stands for.
func (r *runTimes) scaled(declared float64) float64 {
	if r.declared <= 0 {
		return r.mean
	}
	return declared * r.mean / r.declared
}

// estimate is the expected run time in seconds.
func (r *runTimes) estimate(declared float64) float64 {
	switch {
	case !r.known && declared > 0:
		return declared
	case !r.known:
		return defaultRun.Seconds()
	case declared > 0 && r.declaredError < r.meanError:
		return r.scaled(declared)
	}
	return r.mean
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

// declaredPerTask is the mean declared run time of a job's tasks in seconds.
func (i *JobInfo) declaredPerTask() float64 {
	if i.Tasks == 0 {
		return 0
	}
	return float64(i.DeclaredMs) / 1000 / float64(i.Tasks)
}

func abs(x float64) float64 { return max(x, -x) }
