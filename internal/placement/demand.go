package placement

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// TakeDemands returns the demands to send to agents since the last call. Only the
// leases policy has any. An agent gets a demand when tasks start or stop waiting
// for its slots, and when a more urgent job waits than at the last demand. The
// result is valid until the next call.
func (d *Dispatcher) TakeDemands(_ time.Time) []Demand {
	d.demands = d.demands[:0]
	if !d.policy.usesDemands() {
		return nil
	}
	key := d.mostUrgent()
	for _, a := range d.agentList {
		want := 0
		if a.takesWork() {
			want = min(d.waiting, int(a.info.Slots))
		}
		if (want > 0) == a.demandSent && (want == 0 || key >= a.demandKey) {
			continue
		}
		a.demandSent, a.demandKey = want > 0, key
		demand := &wirepb.Demand{Waiting: uint32(want), Key: key, Lend: true}
		d.demands = append(d.demands, Demand{Incarnation: a.info.Incarnation, Message: demand})
	}
	return d.demands
}

// InitialDemand returns the first message of a session with an agent. It states
// whether the agent is to grant slots on demand.
func (d *Dispatcher) InitialDemand() *wirepb.Demand {
	return &wirepb.Demand{Lend: d.policy.usesDemands()}
}

// mostUrgent returns the smallest key of the waiting jobs; 0 when none waits.
func (d *Dispatcher) mostUrgent() uint64 {
	var key uint64
	for i, q := range d.activeQueues {
		if k := q.jobs.items[0].key; i == 0 || k < key {
			key = k
		}
	}
	return key
}
