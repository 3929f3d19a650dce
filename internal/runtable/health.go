package runtable

import (
	"math"
	"time"
)

const (
	// paceWeight is the weight of one job's tasks in the pace.
	paceWeight = 0.15
	// paceMost bounds what one job can say about the pace, either way.
	paceMost = 8
	// failWeight is the weight of one outcome in the suspicion: three failures
	// in a row make a minion suspect, and some ten tasks clear it.
	failWeight = 0.3
)

// health is what the tasks say about the minion.
type health struct {
	// logPace is the mean logarithm of run times against their estimates. Of
	// logarithms one estimate that is ten times too small weighs little.
	logPace float64
	known   bool
	// lastJob told last: the tasks of a job share the error of its estimate.
	lastJob string
	// suspicion is the weighted share of failures.
	suspicion float64
}

// pace is the usual run time against the estimate; 0 when unknown.
func (h *health) pace() float64 {
	if !h.known {
		return 0
	}
	return math.Exp(h.logPace)
}

func (h *health) done() { h.suspicion -= h.suspicion * failWeight }

func (h *health) failed() { h.suspicion += (1 - h.suspicion) * failWeight }

// learn takes in the run time of a job's task.
func (h *health) learn(job string, ran, estimate time.Duration) {
	if estimate <= 0 || ran <= 0 || job == h.lastJob {
		return
	}
	h.lastJob = job
	h.known = true
	ratio := math.Log(ran.Seconds() / estimate.Seconds())
	bound := math.Log(paceMost)
	ratio = min(max(ratio, -bound), bound)
	h.logPace += (ratio - h.logPace) * paceWeight
}
