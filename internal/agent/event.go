package agent

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
	"endivewing/internal/gate"
	"endivewing/internal/wire"
)

// event is what the life's goroutine takes in.
type event interface {
	apply(l *life, now time.Duration)
}

// received is a message of a peer.
type received struct {
	session  *wire.Session
	envelope *wirepb.Envelope
}

// sessionClosed is the end of a session.
type sessionClosed struct{ session *wire.Session }

// taskEnded is the end of a request to the minion; refused tells that the
// minion accepts no connections.
type taskEnded struct {
	ending  gate.Ending
	refused bool
}

// minionUp tells that the minion accepts connections again.
type minionUp struct{}

// configured is a new view of the configuration.
type configured struct{ view *controlclient.View }

// drainChanged tells that the process began to drain.
type drainChanged struct{}

// safeWanted asks to be told when all outcomes are safe.
type safeWanted struct{ safe chan struct{} }

// stopWanted asks to stop all tasks.
type stopWanted struct{}

// endWanted asks to end the life.
type endWanted struct{}

// dumpWanted asks for the state.
type dumpWanted struct{ reply chan<- Dump }

func (e received) apply(l *life, now time.Duration) {
	id, ok := l.sessionID(now, e.session)
	if !ok {
		return
	}
	switch m := e.envelope.Body.(type) {
	case *wirepb.Envelope_StartTask:
		l.gate.StartTask(now, id, m.StartTask)
	case *wirepb.Envelope_Demand:
		l.gate.Demand(now, id, m.Demand)
	case *wirepb.Envelope_ForgetJobs:
		l.gate.Forget(now, id, m.ForgetJobs)
	case *wirepb.Envelope_RecallTasks:
		l.gate.Recall(now, id, m.RecallTasks)
	case *wirepb.Envelope_CancelTasks:
		l.gate.Cancel(now, id, m.CancelTasks)
	case *wirepb.Envelope_QueryTasks:
		l.gate.Query(id, m.QueryTasks)
	case *wirepb.Envelope_ClaimGroup:
		l.gate.Claim(now, id, m.ClaimGroup)
	default:
		l.p.metrics.unexpected.Inc(1)
	}
}

// sessionID finds a session's number; its first message makes it known. A
// message that is left over from a closed session doesn't count.
func (l *life) sessionID(now time.Duration, s *wire.Session) (gate.SessionID, bool) {
	if id, ok := l.sessions[s]; ok {
		return id, true
	}
	select {
	case <-s.Done():
		return 0, false
	default:
	}
	if s.Peer().GetRole() != "entry" {
		go s.Close()
		return 0, false
	}
	l.lastID++
	l.sessions[s] = l.lastID
	l.byID[l.lastID] = s
	l.gate.SessionUp(now, l.lastID, s.Peer().GetIncarnation())
	return l.lastID, true
}

func (e sessionClosed) apply(l *life, _ time.Duration) {
	if id, ok := l.sessions[e.session]; ok {
		delete(l.sessions, e.session)
		delete(l.byID, id)
		l.gate.SessionDown(id)
	}
}

func (e taskEnded) apply(l *life, now time.Duration) {
	l.cancels[e.ending.Key]()
	delete(l.cancels, e.ending.Key)
	if e.refused {
		l.setMinionDown()
	}
	l.p.metrics.ended(e.ending)
	l.gate.Ended(now, e.ending)
}

func (minionUp) apply(l *life, _ time.Duration) {
	l.probing = false
	l.gate.SetMinionDown(false)
}

func (e configured) apply(l *life, now time.Duration) {
	l.gate.Configure(now, e.view.Revision, e.view.Groups)
	l.applyEndpoint(e.view.Endpoints[l.p.opts.Name])
	l.applyDrain()
}

func (drainChanged) apply(l *life, _ time.Duration) { l.applyDrain() }

// applyDrain drains while the process or the operators ask for it.
func (l *life) applyDrain() {
	if l.operatorDrain || l.p.draining.Load() {
		l.step(eventDrain)
	} else {
		l.step(eventUndrain)
	}
	l.gate.SetDraining(l.state == lifeDraining || l.state == lifeStopping)
}

func (e safeWanted) apply(l *life, _ time.Duration) {
	l.safeWaiters = append(l.safeWaiters, e.safe)
}

func (stopWanted) apply(l *life, _ time.Duration) { l.gate.StopRunning(gate.ReasonStopped) }

func (endWanted) apply(l *life, _ time.Duration) {
	l.step(eventLifeStop)
	l.applyDrain()
	l.gate.StopRunning(gate.ReasonStopped)
}

func (e dumpWanted) apply(l *life, _ time.Duration) { e.reply <- l.dump() }
