package placement

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// Demands returns what to tell agents since the last call; only the leases
// policy has any. An agent is told when waiting tasks begin or cease to want
// its slots, and when a more urgent job waits. The result is valid until the
// next call.
func (d *Dispatcher) Demands(_ time.Time) []Demand {
	d.demands = d.demands[:0]
	if !d.policy.demands() {
		return nil
	}
	key := d.mostUrgent()
	for _, a := range d.list {
		want := 0
		if a.takesWork() {
			want = min(d.waiting, int(a.info.Slots))
		}
		if (want > 0) == a.told && (want == 0 || key >= a.toldKey) {
			continue
		}
		a.told, a.toldKey = want > 0, key
		demand := &wirepb.Demand{Waiting: uint32(want), Key: key, Lend: true}
		d.demands = append(d.demands, Demand{Agent: a.info.Incarnation, Demand: demand})
	}
	return d.demands
}

// FirstDemand is the first message of a session with an agent; it tells what
// the policy goes by.
func (d *Dispatcher) FirstDemand() *wirepb.Demand { return &wirepb.Demand{Lend: d.policy.demands()} }

// mostUrgent is the smallest key of a waiting job.
func (d *Dispatcher) mostUrgent() uint64 {
	var key uint64
	for i, q := range d.active {
		if k := q.jobs.items[0].key; i == 0 || k < key {
			key = k
		}
	}
	return key
}
