package agent

import (
	"time"

	"endivewing/internal/gate"
)

// dumpTimeout bounds the wait for the incarnation's goroutine to reply.
const dumpTimeout = time.Second

// Dump is the state of an agent in a human-readable form.
type Dump struct {
	Name        string    `json:"name"`
	Zone        string    `json:"zone"`
	Address     string    `json:"address"`
	Incarnation uint64    `json:"incarnation"`
	State       string    `json:"state"`
	LeaseValid  bool      `json:"leaseValid"`
	Minion      string    `json:"minion"`
	Gate        gate.Dump `json:"gate"`
}

// Dump returns the state of the agent. The state of the gate is left out if the
// process isn't registered, has ended, or doesn't reply within dumpTimeout.
func (p *Process) Dump() any {
	if i := p.currentIncarnation(); i != nil {
		reply := make(chan Dump, 1)
		i.enqueue(dumpRequested{reply})
		select {
		case d := <-reply:
			return d
		case <-i.done:
		case <-time.After(dumpTimeout):
		}
	}
	return p.dump("unregistered")
}

func (p *Process) dump(state string) Dump {
	return Dump{
		Name:       p.opts.Name,
		Zone:       p.opts.Zone,
		Address:    p.address,
		State:      state,
		LeaseValid: p.follower.LeaseValid(time.Now()),
		Minion:     p.opts.MinionURL,
	}
}

func (i *incarnation) dump() Dump {
	d := i.p.dump(incarnationChart.StateName(i.state))
	d.Incarnation = i.number
	d.Gate = i.gate.Dump()
	return d
}
