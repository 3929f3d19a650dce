package quorum

import (
	"math"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// operation is what a caller did to one register.
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

// watch completes the operations that end at a host.
func (x *chaos) watch(h *host) {
	h.ready = func(r Ready) {
		for _, s := range r.Lost {
			x.lose(h, s)
		}
		for _, rd := range r.Reads {
			x.open[rd.Token].readIndex = rd.Index
		}
		for _, token := range r.LostReads {
			delete(x.open, token)
		}
		x.finish(h)
	}
}

func (x *chaos) lose(h *host, s Span) {
	for op, o := range x.open {
		if o.host == h.id && !o.read && o.proposed.Term == s.Term && o.proposed.First >= s.First && o.proposed.First <= s.Last {
			o.lost = true
			delete(x.open, op)
		}
	}
}

func (x *chaos) finish(h *host) {
	for id, o := range x.open {
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
		delete(x.open, id)
	}
}

// forget leaves the operations at a host without an answer.
func (x *chaos) forget(h *host) {
	for id, o := range x.open {
		if o.host == h.id {
			delete(x.open, id)
		}
	}
}

// caller returns a host that thinks it leads, a deposed one included, or nil.
func (x *chaos) caller() *host {
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

func (x *chaos) swap() {
	h := x.caller()
	if h == nil {
		return
	}
	cmd := command{op: uint64(len(x.ops) + 1), key: x.register(), expected: x.small(), value: x.small()}
	index, term, err := h.core.Propose(cmd.encode())
	if err != nil {
		return
	}
	o := &operation{cmd: cmd, called: x.now, host: h.id, proposed: Span{First: index, Last: index, Term: term}}
	x.ops = append(x.ops, o)
	x.open[cmd.op] = o
	x.drain(h)
}

func (x *chaos) read() {
	h := x.caller()
	if h == nil {
		return
	}
	id := uint64(len(x.ops) + 1)
	if err := h.core.ConfirmRead(id); err != nil {
		return
	}
	o := &operation{read: true, cmd: command{op: id, key: x.register()}, called: x.now, host: h.id}
	x.ops = append(x.ops, o)
	x.open[id] = o
	x.drain(h)
}

func (x *chaos) register() uint64 { return uint64(x.between(1, registers)) }

func (x *chaos) small() uint64 { return uint64(x.between(0, 3)) }

// history returns the operations as the checker takes them. A command without
// an answer may take effect at any later time; a read without one tells
// nothing; a lost command had no effect.
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

// registerModel is one register under reads and compare-and-set.
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
		now, o := state.(uint64), input.(*operation)
		if o.read {
			return o.value == now, now
		}
		swapped := now == o.cmd.expected
		if o.returned != math.MaxInt64 && swapped != o.swapped {
			return false, now
		}
		if swapped {
			return true, o.cmd.value
		}
		return true, now
	},
}

// TestFaults holds under losses, repeats, reorderings, crashes between write
// and sync, lost disks, cuts and membership changes: one leader a term, no
// committed entry changed, compare-and-set linearizable, and progress after.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := newChaos(rt)
		x.calm()
		for range rapid.IntRange(minSteps, maxSteps).Draw(rt, "steps") {
			x.step()
		}
		x.recover()
		if !porcupine.CheckOperations(registerModel, x.history()) {
			rt.Fatalf("history is not linearizable")
		}
	})
}
