package entry

import (
	"endivewing/internal/owner"
	"endivewing/internal/placement"
)

// Status is the state of an entry as returned by Dump.
type Status struct {
	Name        string            `json:"name"`
	Zone        string            `json:"zone"`
	HTTPAddress string            `json:"httpAddress"`
	Incarnation uint64            `json:"incarnation"`
	Revision    uint64            `json:"revision"`
	Ready       bool              `json:"ready"`
	NotReady    string            `json:"notReady,omitempty"`
	Refusing    bool              `json:"refusing"`
	Accepts     int               `json:"acceptsInFlight"`
	Requests    int64             `json:"requestsInFlight"`
	Sessions    int               `json:"agentSessions"`
	Owner       *owner.Status     `json:"owner,omitempty"`
	Placement   *placement.Status `json:"placement,omitempty"`
}

// dumpRequested asks the loop for its part of the state.
type dumpRequested struct{ reply chan<- *Status }

func (d dumpRequested) handle(l *loop) {
	s := &Status{
		Name: l.opts.Name, Zone: l.opts.Zone, Incarnation: l.incarnation, Revision: l.view.Revision,
		Refusing: l.refusing, Accepts: len(l.pendingAccepts), Sessions: len(l.sessions),
	}
	if l.owner != nil {
		ownerStatus := l.owner.Status()
		placementStatus := l.dispatcher.Status()
		s.Owner, s.Placement = &ownerStatus, &placementStatus
	}
	d.reply <- s
}

// Dump returns the state of the entry, a *Status. State machines appear with the
// state names of their charts.
func (p *Process) Dump() any {
	s, err := callLoop(p.loop, func(reply chan<- *Status) event { return dumpRequested{reply: reply} })
	if err != nil {
		return &Status{Name: p.opts.Name, NotReady: err.Error()}
	}
	s.HTTPAddress = p.HTTPAddress()
	s.Requests = p.requestsInFlight.Load()
	if err := p.Ready(); err != nil {
		s.NotReady = err.Error()
	} else {
		s.Ready = true
	}
	return s
}

func (l *loop) updateGauges() {
	l.metrics.agentsConnected.Update(float64(len(l.sessions)))
	l.metrics.jobsOpen.Update(float64(len(l.jobs)))
	l.metrics.groupsTakenOver.Update(float64(len(l.claims)))
	if l.owner != nil {
		l.metrics.staleUpdates.Update(float64(l.owner.Stats().StaleUpdates))
	}
}
