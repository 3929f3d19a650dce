package quorum

import (
	"math"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

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
