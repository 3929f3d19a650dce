package entry

import (
	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/placement"
	"endivewing/internal/wire"
)

// assign sends waiting tasks to agents until no slot is free for them.
func (l *loop) assign() {
	for {
		a, ok := l.dispatcher.Next(l.now)
		if !ok {
			return
		}
		if l.owner.AssignTask(a.Job, a.Task, a.Incarnation, a.Key, l.now) {
			continue
		}
		// The task is at another agent, as after a takeover, or has ended. The
		// owner calls PlaceAgain if it has to run again.
		l.dispatcher.HandleOutcome(a.Incarnation, a.Job, a.Task, placement.NotSent, 0, l.now)
	}
}

// recall asks agents to return queued tasks that the dispatcher would place at
// another agent.
func (l *loop) recall() {
	for _, r := range l.dispatcher.TakeRecalls() {
		l.owner.RecallTask(r.Job, r.Task)
	}
}

// sendDemands reports to the agents how many slots this entry could use.
func (l *loop) sendDemands() {
	for _, d := range l.dispatcher.TakeDemands(l.now) {
		if s := l.sessions[d.Incarnation]; s != nil {
			_ = s.Send(wire.LaneUrgent, demandEnvelope(d.Message))
		}
	}
}

func demandEnvelope(d *wirepb.Demand) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_Demand{Demand: d}}
}
