package runtable

import "time"

const (
	// paceWeight is the weight of one ended task in the pace.
	paceWeight = 0.1
	// paceMost bounds what one task can say about the pace.
	paceMost = 8
	// failWeight is the weight of one outcome in the suspicion: three failures
	// in a row make a minion suspect, and some ten tasks clear it.
	failWeight = 0.3
)

// health is what the ended tasks say about the minion.
type health struct {
	// pace is the run time against the estimate, 0 when unknown.
	pace float64
	// suspicion is the weighted share of failures.
	suspicion float64
}

func (h *health) done(ran, estimate time.Duration) {
	h.suspicion -= h.suspicion * failWeight
	if estimate <= 0 {
		return
	}
	ratio := min(ran.Seconds()/estimate.Seconds(), paceMost)
	if h.pace == 0 {
		h.pace = 1
	}
	h.pace += (ratio - h.pace) * paceWeight
}

func (h *health) failed() { h.suspicion += (1 - h.suspicion) * failWeight }
