package agent

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
	"endivewing/internal/gate"
	"endivewing/internal/wire"
)

// event is an input of the incarnation's goroutine, which calls its handler.
type event interface {
	handle(i *incarnation, now time.Duration)
}

// messageReceived carries a message from a peer.
type messageReceived struct {
	session  *wire.Session
	envelope *wirepb.Envelope
}

// sessionClosed reports that a session has ended.
type sessionClosed struct{ session *wire.Session }

// taskEnded reports the end of a request to the minion. The flag refused is set if
// the minion accepts no connections or has no free slot.
type taskEnded struct {
	end     gate.RequestEnd
	refused bool
}

// minionReachable reports that the minion accepts connections.
type minionReachable struct{}

// configurationChanged carries a new configuration.
type configurationChanged struct{ config *controlclient.View }

// drainChanged reports that the process has started to drain.
type drainChanged struct{}

// safeRequested asks to close the channel safe when no task is queued or running
// and all outcomes are safe.
type safeRequested struct{ safe chan struct{} }

// stopRequested asks to stop all running tasks.
type stopRequested struct{}

// endRequested asks to end the incarnation.
type endRequested struct{}

// dumpRequested asks for the state of the agent.
type dumpRequested struct{ reply chan<- Dump }

func (e messageReceived) handle(i *incarnation, now time.Duration) {
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

// sessionID returns the number of a session and reports whether its messages are
// to be handled. The first message of an entry's session adds the session to the
// gate. Late messages of a closed session are ignored.
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
	i.lastSessionID++
	i.sessions[s] = i.lastSessionID
	i.sessionsByID[i.lastSessionID] = s
	i.gate.AddSession(now, i.lastSessionID, s.Peer().GetIncarnation())
	return i.lastSessionID, true
}

func (e sessionClosed) handle(i *incarnation, _ time.Duration) {
	if id, ok := i.sessions[e.session]; ok {
		delete(i.sessions, e.session)
		delete(i.sessionsByID, id)
		i.gate.RemoveSession(id)
	}
}

func (e taskEnded) handle(i *incarnation, now time.Duration) {
	i.cancels[e.end.Key]()
	delete(i.cancels, e.end.Key)
	if e.refused {
		i.setMinionDown()
	}
	i.p.metrics.recordRunTime(e.end)
	i.gate.HandleRequestEnd(now, e.end)
}

func (minionReachable) handle(i *incarnation, _ time.Duration) {
	i.probing = false
	i.gate.SetMinionDown(false)
}

func (e configurationChanged) handle(i *incarnation, now time.Duration) {
	i.gate.Configure(now, e.config.Revision, e.config.Groups)
	i.applyEndpoint(e.config.Endpoints[i.p.opts.Name])
	i.applyDrain()
}

func (drainChanged) handle(i *incarnation, _ time.Duration) { i.applyDrain() }

// applyDrain starts a drain if the process drains or the operators have declared
// one, and ends it otherwise.
func (i *incarnation) applyDrain() {
	if i.operatorDrain || i.p.draining.Load() {
		i.step(eventDrain)
	} else {
		i.step(eventUndrain)
	}
	i.gate.SetDraining(i.state == stateDraining || i.state == stateStopping)
}

func (e safeRequested) handle(i *incarnation, _ time.Duration) {
	i.safeWaiters = append(i.safeWaiters, e.safe)
}

func (stopRequested) handle(i *incarnation, _ time.Duration) { i.gate.StopRunning(gate.ReasonStopped) }

func (endRequested) handle(i *incarnation, _ time.Duration) {
	i.step(eventStop)
	i.applyDrain()
	i.gate.StopRunning(gate.ReasonStopped)
}

func (e dumpRequested) handle(i *incarnation, _ time.Duration) { e.reply <- i.dump() }
