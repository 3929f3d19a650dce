package quorum

import (
	"math"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// operation is a read or compare-and-set of one register by a client.
type operation struct {
	read      bool
	cmd       command
	value     uint64
	swapped   bool
	called    int64
	returned  int64
	proposed  Span
	lost      bool
	host      uint64
	readIndex uint64
}

// recordCompletions makes each Ready of a host complete the operations whose
// outcome it shows.
func (x *chaos) recordCompletions(h *host) {
	h.onReady = func(r Ready) {
		for _, s := range r.LostProposals {
			x.markLost(h, s)
		}
		for _, rd := range r.Reads {
			x.pending[rd.Token].readIndex = rd.Index
		}
		for _, token := range r.FailedReads {
			delete(x.pending, token)
		}
		x.completeOps(h)
	}
}

func (x *chaos) markLost(h *host, s Span) {
	for op, o := range x.pending {
		if o.host == h.id && !o.read && o.proposed.Term == s.Term && o.proposed.First >= s.First && o.proposed.First <= s.Last {
			o.lost = true
			delete(x.pending, op)
		}
	}
}

func (x *chaos) completeOps(h *host) {
	for id, o := range x.pending {
		if o.host != h.id {
			continue
		}
		if o.read {
			if o.readIndex == 0 || h.app.applied < o.readIndex {
				continue
			}
			o.value = h.app.registers[o.cmd.key]
		} else {
			swapped, done := h.app.outcomes[id]
			if !done {
				continue
			}
			o.swapped = swapped
		}
		o.returned = x.now
		delete(x.pending, id)
	}
}

// abandonOps leaves the pending operations of a host unanswered.
func (x *chaos) abandonOps(h *host) {
	for id, o := range x.pending {
		if o.host == h.id {
			delete(x.pending, id)
		}
	}
}

// pickLeader returns a random host that considers itself the leader, which may be
// a deposed one, or nil.
func (x *chaos) pickLeader() *host {
	var leads []*host
	for _, id := range x.ids {
		if h := x.hosts[id]; h.core != nil && h.core.isLeader() {
			leads = append(leads, h)
		}
	}
	if len(leads) == 0 {
		return nil
	}
	return leads[x.between(0, len(leads)-1)]
}

func (x *chaos) compareAndSet() {
	h := x.pickLeader()
	if h == nil {
		return
	}
	cmd := command{op: uint64(len(x.ops) + 1), key: x.register(), expected: x.smallValue(), value: x.smallValue()}
	index, term, err := h.core.Propose(cmd.encode())
	if err != nil {
		return
	}
	o := &operation{cmd: cmd, called: x.now, host: h.id, proposed: Span{First: index, Last: index, Term: term}}
	x.ops = append(x.ops, o)
	x.pending[cmd.op] = o
	x.drain(h)
}

func (x *chaos) read() {
	h := x.pickLeader()
	if h == nil {
		return
	}
	id := uint64(len(x.ops) + 1)
	if err := h.core.ConfirmRead(id); err != nil {
		return
	}
	o := &operation{read: true, cmd: command{op: id, key: x.register()}, called: x.now, host: h.id}
	x.ops = append(x.ops, o)
	x.pending[id] = o
	x.drain(h)
}

func (x *chaos) register() uint64 { return uint64(x.between(1, registers)) }

func (x *chaos) smallValue() uint64 { return uint64(x.between(0, 3)) }

// history returns the operations in the form that the checker needs. An
// unanswered command may take effect at any later time. Unanswered reads are
// left out. Lost commands are left out too, since they must have no effect.
func (x *chaos) history() []porcupine.Operation {
	var out []porcupine.Operation
	for _, o := range x.ops {
		switch {
		case o.lost:
			for _, h := range x.hosts {
				if _, done := h.app.outcomes[o.cmd.op]; done {
					x.rt.Fatalf("command %d took effect after it was lost", o.cmd.op)
				}
			}
			continue
		case o.returned == 0 && o.read:
			continue
		case o.returned == 0:
			o.returned = math.MaxInt64
		}
		out = append(out, porcupine.Operation{Input: o, Call: o.called, Output: o, Return: o.returned})
	}
	return out
}

// registerModel is the sequential model of a register with reads and
// compare-and-set.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, registers)
		for _, op := range history {
			i := op.Input.(*operation).cmd.key - 1
			parts[i] = append(parts[i], op)
		}
		return parts
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		current, o := state.(uint64), input.(*operation)
		if o.read {
			return o.value == current, current
		}
		swapped := current == o.cmd.expected
		if o.returned != math.MaxInt64 && swapped != o.swapped {
			return false, current
		}
		if swapped {
			return true, o.cmd.value
		}
		return true, current
	},
}

// TestFaults checks the safety and liveness properties under lost, repeated and
// reordered messages, crashes between write and sync, lost disks, partitions and
// membership changes. Each term has at most one leader, no committed entry
// changes, reads and compare-and-set are linearizable, and the cluster makes
// progress after the faults.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := newChaos(rt)
		x.quietPeriod()
		for range rapid.IntRange(minSteps, maxSteps).Draw(rt, "steps") {
			x.step()
		}
		x.recover()
		if !porcupine.CheckOperations(registerModel, x.history()) {
			rt.Fatalf("history is not linearizable")
		}
	})
}
