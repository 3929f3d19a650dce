package wire

import (
	"fmt"
	"sync"

	wirepb "endivewing/api/endivewing/v1"
)

// FaultError is a Fault received in place of a response.
type FaultError struct {
	Fault *wirepb.Fault
}

// Error implements error.
func (e *FaultError) Error() string {
	return fmt.Sprintf("wire: %s: %s", e.Fault.Code, e.Fault.Reason)
}

// FaultReply builds the envelope that answers a request with a fault.
func FaultReply(code wirepb.FaultCode, reason, leader string) *wirepb.Envelope {
	f := &wirepb.Fault{Code: code, Reason: reason, Leader: leader}
	return &wirepb.Envelope{Body: &wirepb.Envelope_Fault{Fault: f}}
}

// callTable matches replies with the calls that wait for them.
type callTable struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan *wirepb.Envelope
}

func (t *callTable) init() { t.waiting = make(map[uint64]chan *wirepb.Envelope) }

func (t *callTable) open() (uint64, <-chan *wirepb.Envelope) {
	reply := make(chan *wirepb.Envelope, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	t.waiting[t.last] = reply
	return t.last, reply
}

func (t *callTable) drop(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, number)
}

// answer hands a reply to its call; false if none waits any more.
func (t *callTable) answer(e *wirepb.Envelope) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	reply, ok := t.waiting[e.Reply]
	if !ok {
		return false
	}
	delete(t.waiting, e.Reply)
	reply <- e
	return true
}
