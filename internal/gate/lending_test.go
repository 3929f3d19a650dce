package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// lendingWorkload drives a SlotAllocator and keeps the last grant of each session.
type lendingWorkload struct {
	l           SlotAllocator
	now         time.Duration
	lastSession SessionID
	reported    map[SessionID]Grant
}

// settle settles the allocator twice and reports whether the second call returned
// no further grants.
func (w *lendingWorkload) settle() bool {
	for _, g := range w.l.Settle(w.now, nil) {
		w.reported[g.Session] = g
	}
	return len(w.l.Settle(w.now, nil)) == 0
}

func TestLendingUsesAllSlotsAndServesDemands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &lendingWorkload{reported: map[SessionID]Grant{}}
		pick := func(label string, low, high int) int { return rapid.IntRange(low, high).Draw(t, label) }
		holder := func() SessionID { return SessionID(pick("holder", 1, int(w.lastSession)+1)) }
		act := func(input func()) func(*rapid.T) {
			return func(*rapid.T) {
				input()
				assert.Assert(t, w.settle(), "second Settle returned grants")
			}
		}
		w.l.SetCapacity(8)
		t.Repeat(map[string]func(*rapid.T){
			"join": act(func() {
				if w.lastSession < 4 {
					w.lastSession++
					w.l.AddSession(w.now, w.lastSession, pick("outstanding", 0, 3))
				}
			}),
			"leave":    act(func() { w.l.RemoveSession(holder()) }),
			"capacity": act(func() { w.l.SetCapacity(pick("capacity", 0, 10)) }),
			"demand":   act(func() { w.l.SetDemand(w.now, holder(), pick("waiting", 0, 9), uint64(pick("key", 0, 3))) }),
			"begun":    act(func() { w.l.TaskAdded(w.now, holder()) }),
			"ended":    act(func() { w.l.TaskEnded(w.now, holder()) }),
			"time":     act(func() { w.now += time.Duration(pick("ms", 1, 300)) * time.Millisecond }),
			"":         func(t *rapid.T) { w.check(t) },
		})
	})
}

func (w *lendingWorkload) check(t *rapid.T) {
	if len(w.l.holders) > 0 {
		assert.Equal(t, w.l.granted(), w.l.capacity)
	}
	unserved := w.l.mostUrgent()
	for i := range w.l.holders {
		h := &w.l.holders[i]
		assert.Equal(t, w.reported[h.id].Slots, h.granted)
		idle := h.granted > 0 && h.movable(w.now) > 0
		assert.Assert(t, unserved == nil || !idle, "a slot is idle at %d while another demand waits", h.id)
	}
}

// TestLendingLeavesNobodyOut guards against the starvation of an entry: all
// entries always wait and never change their keys, and each must keep getting
// slots.
func TestLendingLeavesNobodyOut(t *testing.T) {
	const entries, rounds = 3, 3000
	w := &lendingWorkload{reported: map[SessionID]Grant{}}
	w.l.SetCapacity(8)
	starts := map[SessionID]int{}
	for id := SessionID(1); id <= entries; id++ {
		w.l.AddSession(0, id, 0)
		w.l.SetDemand(0, id, 8, uint64(id))
	}
	for round := range rounds {
		w.settle()
		w.now += time.Millisecond
		for id := SessionID(1); id <= entries; id++ {
			for h := w.l.find(id); h.outstanding < w.reported[id].Slots; starts[id]++ {
				w.l.TaskAdded(w.now, id)
			}
		}
		// One task ends in each round, from the next entry in turn that has one.
		for i := range SessionID(entries) {
			if id := (SessionID(round)+i)%entries + 1; w.l.find(id).outstanding > 0 {
				w.l.TaskEnded(w.now, id)
				break
			}
		}
	}
	for id := SessionID(1); id <= entries; id++ {
		assert.Assert(t, starts[id] > rounds/entries/2, "entry %d started %d of %d", id, starts[id], rounds)
	}
}

// TestUnusedSlotsMoveToADemandAfterTheReservation checks that slots granted for one
// entry's demand, but not used, go to another entry's demand once the reservation
// has expired. Without demands the slots are then distributed evenly.
func TestUnusedSlotsMoveToADemandAfterTheReservation(t *testing.T) {
	w := &lendingWorkload{reported: map[SessionID]Grant{}}
	w.l.SetCapacity(8)
	for id := SessionID(1); id <= 2; id++ {
		w.l.AddSession(0, id, 0)
		w.l.SetDemand(0, id, 8, uint64(id))
	}
	w.settle()
	assert.Equal(t, w.reported[1].Slots, 8)
	w.now = w.l.NextWake(w.now)
	assert.Equal(t, w.now, reservationTimeout)
	w.settle()
	assert.Equal(t, w.reported[2].Slots, 8)
	w.l.SetDemand(w.now, 1, 0, 0)
	w.l.SetDemand(w.now, 2, 0, 0)
	w.settle()
	w.now = w.l.NextWake(w.now)
	w.settle()
	assert.Equal(t, w.reported[1].Slots, 4)
}

func TestTasksBeyondTheGrantDoNotRaiseIt(t *testing.T) {
	w := &lendingWorkload{reported: map[SessionID]Grant{}}
	w.l.SetCapacity(8)
	for id := SessionID(1); id <= 2; id++ {
		w.l.AddSession(0, id, 0)
		w.settle()
	}
	for range 12 {
		w.l.TaskAdded(0, 1)
		w.settle()
	}
	assert.Equal(t, w.reported[1].Slots, 4)
	assert.Equal(t, w.reported[2].Slots, 4)
}
