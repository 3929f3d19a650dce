package entry

import (
	"endivewing/internal/owner"
	"endivewing/internal/placement"
)

// Status is the state of an entry for its dump.
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

// dump asks the loop for its state.
type dump struct{ reply chan<- *Status }

func (d dump) apply(l *loop) {
	s := &Status{
		Name: l.opts.Name, Zone: l.opts.Zone, Incarnation: l.incarnation, Revision: l.view.Revision,
		Refusing: l.refusing, Accepts: len(l.accepts), Sessions: len(l.sessions),
	}
	if l.owner != nil {
		ownerStatus := l.owner.Status()
		placementStatus := l.dispatch.Status()
		s.Owner, s.Placement = &ownerStatus, &placementStatus
	}
	d.reply <- s
}

// Dump returns the state of the entry, with every machine's state by the name
// that its chart gives it.
func (p *Process) Dump() any {
	s, err := ask(p.loop, func(reply chan<- *Status) action { return dump{reply: reply} })
	if err != nil {
		return &Status{Name: p.opts.Name, NotReady: err.Error()}
	}
	s.HTTPAddress = p.HTTPAddress()
	s.Requests = p.inFlight.Load()
	if err := p.Ready(); err != nil {
		s.NotReady = err.Error()
	} else {
		s.Ready = true
	}
	return s
}

// publish sets the gauges.
func (l *loop) publish() {
	l.metrics.sessions.Update(float64(len(l.sessions)))
	l.metrics.openJobs.Update(float64(len(l.jobs)))
	l.metrics.takeovers.Update(float64(len(l.claims)))
	if l.owner != nil {
		l.metrics.staleUpdates.Update(float64(l.owner.Stats().StaleUpdates))
	}
}
