package agent

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
	"endivewing/internal/gate"
	"endivewing/internal/wire"
)

// event is what the incarnation's goroutine takes in.
type event interface {
	apply(i *incarnation, now time.Duration)
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

// endWanted asks to end the incarnation.
type endWanted struct{}

// dumpWanted asks for the state.
type dumpWanted struct{ reply chan<- Dump }

func (e received) apply(i *incarnation, now time.Duration) {
	id, ok := i.sessionID(now, e.session)
	if !ok {
		return
	}
	switch m := e.envelope.Body.(type) {
	case *wirepb.Envelope_StartTask:
		i.gate.StartTask(now, id, m.StartTask)
	case *wirepb.Envelope_Demand:
		i.gate.Demand(now, id, m.Demand)
	case *wirepb.Envelope_ForgetJobs:
		i.gate.Forget(now, id, m.ForgetJobs)
	case *wirepb.Envelope_RecallTasks:
		i.gate.Recall(now, id, m.RecallTasks)
	case *wirepb.Envelope_CancelTasks:
		i.gate.Cancel(now, id, m.CancelTasks)
	case *wirepb.Envelope_QueryTasks:
		i.gate.Query(id, m.QueryTasks)
	case *wirepb.Envelope_ClaimGroup:
		i.gate.Claim(now, id, m.ClaimGroup)
	default:
		i.p.metrics.unexpected.Inc(1)
	}
}

// sessionID finds a session's number; its first message makes it known. A
// message that is left over from a closed session doesn't count.
func (i *incarnation) sessionID(now time.Duration, s *wire.Session) (gate.SessionID, bool) {
	if id, ok := i.sessions[s]; ok {
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
	i.lastID++
	i.sessions[s] = i.lastID
	i.byID[i.lastID] = s
	i.gate.SessionUp(now, i.lastID, s.Peer().GetIncarnation())
	return i.lastID, true
}

func (e sessionClosed) apply(i *incarnation, _ time.Duration) {
	if id, ok := i.sessions[e.session]; ok {
		delete(i.sessions, e.session)
		delete(i.byID, id)
		i.gate.SessionDown(id)
	}
}

func (e taskEnded) apply(i *incarnation, now time.Duration) {
	i.cancels[e.ending.Key]()
	delete(i.cancels, e.ending.Key)
	if e.refused {
		i.setMinionDown()
	}
	i.p.metrics.ended(e.ending)
	i.gate.Ended(now, e.ending)
}

func (minionUp) apply(i *incarnation, _ time.Duration) {
	i.probing = false
	i.gate.SetMinionDown(false)
}

func (e configured) apply(i *incarnation, now time.Duration) {
	i.gate.Configure(now, e.view.Revision, e.view.Groups)
	i.applyEndpoint(e.view.Endpoints[i.p.opts.Name])
	i.applyDrain()
}

func (drainChanged) apply(i *incarnation, _ time.Duration) { i.applyDrain() }

// applyDrain drains while the process or the operators ask for it.
func (i *incarnation) applyDrain() {
	if i.operatorDrain || i.p.draining.Load() {
		i.step(eventDrain)
	} else {
		i.step(eventUndrain)
	}
	i.gate.SetDraining(i.state == stateDraining || i.state == stateStopping)
}

func (e safeWanted) apply(i *incarnation, _ time.Duration) {
	i.safeWaiters = append(i.safeWaiters, e.safe)
}

func (stopWanted) apply(i *incarnation, _ time.Duration) { i.gate.StopRunning(gate.ReasonStopped) }

func (endWanted) apply(i *incarnation, _ time.Duration) {
	i.step(eventStop)
	i.applyDrain()
	i.gate.StopRunning(gate.ReasonStopped)
}

func (e dumpWanted) apply(i *incarnation, _ time.Duration) { e.reply <- i.dump() }
