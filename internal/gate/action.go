package gate

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// SessionID identifies a session within one incarnation of the agent. The caller
// chooses it and never uses a number twice.
type SessionID uint64

// Key identifies a task.
type Key struct {
	Job uint64
	// Task is the index within the job.
	Task uint32
}

// Actions lists what the caller must do after Settle, in the order of the
// fields. The slices are valid until the call of ClearActions.
type Actions struct {
	// Starts are requests to send to the minion.
	Starts []Start
	// Stops are running requests to cancel. The caller still reports the end of
	// each of them with HandleRequestEnd.
	Stops []Key
	// Sends are messages to entries.
	Sends []Send
	// Closes are sessions to close.
	Closes []SessionID
}

// Start is one request to the minion.
type Start struct {
	Key     Key
	Request *wirepb.StartTask
	// Deadline is the time at which the gate stops the task; 0 means none.
	Deadline time.Duration
}

// Send is one message to the entry at the other end of a session.
type Send struct {
	Session SessionID
	// Urgent is set if the message must not wait behind task traffic.
	Urgent   bool
	Envelope *wirepb.Envelope
}

func (a *Actions) reset() {
	clear(a.Starts)
	clear(a.Sends)
	a.Starts = a.Starts[:0]
	a.Stops = a.Stops[:0]
	a.Sends = a.Sends[:0]
	a.Closes = a.Closes[:0]
}

func updateEnvelope(u *wirepb.TaskUpdate) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_TaskUpdate{TaskUpdate: u}}
}

func grantEnvelope(slots int, sequence uint64) *wirepb.Envelope {
	g := &wirepb.SlotGrant{Slots: uint32(slots), Sequence: sequence}
	return &wirepb.Envelope{Body: &wirepb.Envelope_SlotGrant{SlotGrant: g}}
}

func claimEnvelope(r *wirepb.ClaimReport) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_ClaimReport{ClaimReport: r}}
}

func queryEnvelope(r *wirepb.QueryReport) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_QueryReport{QueryReport: r}}
}

func drainingEnvelope(incarnation uint64, over bool) *wirepb.Envelope {
	d := &wirepb.Draining{Incarnation: incarnation, Over: over}
	return &wirepb.Envelope{Body: &wirepb.Envelope_Draining{Draining: d}}
}
