package wire

import (
	"fmt"
	"sync"

	wirepb "endivewing/api/endivewing/v1"
)

// FaultError reports a Fault that was received in place of a response.
type FaultError struct {
	Fault *wirepb.Fault
}

// Error implements error.
func (e *FaultError) Error() string {
	return fmt.Sprintf("wire: %s: %s", e.Fault.Code, e.Fault.Reason)
}

// FaultReply returns an envelope with a fault, to be sent as the reply to a
// request. leader is the address of the leader, or empty.
func FaultReply(code wirepb.FaultCode, reason, leader string) *wirepb.Envelope {
	f := &wirepb.Fault{Code: code, Reason: reason, Leader: leader}
	return &wirepb.Envelope{Body: &wirepb.Envelope_Fault{Fault: f}}
}

// callTable matches replies with the calls that wait for them.
type callTable struct {
	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]chan *wirepb.Envelope
}

func (t *callTable) init() { t.pending = make(map[uint64]chan *wirepb.Envelope) }

// add registers a call and returns its number and the channel for its reply.
func (t *callTable) add() (uint64, <-chan *wirepb.Envelope) {
	reply := make(chan *wirepb.Envelope, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNumber++
	t.pending[t.lastNumber] = reply
	return t.lastNumber, reply
}

func (t *callTable) remove(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, number)
}

// resolve passes a reply to its call. It reports whether the call was still
// waiting.
func (t *callTable) resolve(e *wirepb.Envelope) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	reply, ok := t.pending[e.Reply]
	if !ok {
		return false
	}
	delete(t.pending, e.Reply)
	reply <- e
	return true
}
