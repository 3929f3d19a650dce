package entry

import (
	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/placement"
	"endivewing/internal/wire"
)

// assign sends waiting tasks as far as slots go.
func (l *loop) assign() {
	for {
		a, ok := l.dispatch.Next(l.now)
		if !ok {
			return
		}
		if l.owner.Assign(a.Job, a.Task, a.Incarnation, a.Key, l.now) {
			continue
		}
		// The owner holds the task elsewhere, as after a takeover, or is done
		// with it. Replace brings it back if it has to run.
		l.dispatch.HandleOutcome(a.Incarnation, a.Job, a.Task, placement.NotSent, 0, l.now)
	}
}

// recall asks queued tasks back that the dispatcher wants elsewhere.
func (l *loop) recall() {
	for _, r := range l.dispatch.TakeRecalls() {
		l.owner.Recall(r.Job, r.Task)
	}
}

// sendDemands tells agents how much this entry could use.
func (l *loop) sendDemands() {
	for _, d := range l.dispatch.TakeDemands(l.now) {
		if s := l.sessions[d.Incarnation]; s != nil {
			_ = s.Send(wire.LaneUrgent, demandEnvelope(d.Message))
		}
	}
}

func demandEnvelope(d *wirepb.Demand) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_Demand{Demand: d}}
}
