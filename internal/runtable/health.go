package runtable

import (
	"math"
	"time"
)

const (
	// runtimeRatioWeight is the weight of one job's tasks in the moving average
	// of the run time ratio.
	runtimeRatioWeight = 0.15
	// maxRuntimeRatio bounds the ratio of run time to estimate that one job adds
	// to the moving average. The lower bound is 1/maxRuntimeRatio.
	maxRuntimeRatio = 8
	// failureWeight is the weight of one outcome in the failure rate. Three
	// failures in a row make a minion suspect, and about ten successful tasks
	// clear it.
	failureWeight = 0.3
)

// health holds statistics of the minion's tasks.
type health struct {
	// logRuntimeRatio is the moving average of the logarithm of the ratio of run
	// time to estimate. With the logarithm, one estimate that is ten times too
	// small has little weight.
	logRuntimeRatio float64
	// known is set once a run time was recorded.
	known bool
	// lastJob is the job that was recorded last. The tasks of a job share the
	// error of its estimate, so only the first of them is recorded.
	lastJob string
	// failureRate is the moving average of failures, from 0 to 1.
	failureRate float64
}

// runtimeRatio returns the usual run time divided by the estimate; 0 means
// unknown.
func (h *health) runtimeRatio() float64 {
	if !h.known {
		return 0
	}
	return math.Exp(h.logRuntimeRatio)
}

func (h *health) recordSuccess() { h.failureRate -= h.failureRate * failureWeight }

func (h *health) recordFailure() { h.failureRate += (1 - h.failureRate) * failureWeight }

// recordRuntime records the run time of a job's task.
func (h *health) recordRuntime(job string, ran, estimate time.Duration) {
	if estimate <= 0 || ran <= 0 || job == h.lastJob {
		return
	}
	h.lastJob = job
	h.known = true
	ratio := math.Log(ran.Seconds() / estimate.Seconds())
	bound := math.Log(maxRuntimeRatio)
	ratio = min(max(ratio, -bound), bound)
	h.logRuntimeRatio += (ratio - h.logRuntimeRatio) * runtimeRatioWeight
}
