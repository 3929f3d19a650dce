package gate

import "time"

const (
	// reservationTimeout is how long a slot granted for a demand is reserved for
	// its entry, as the task for it may be in transit. After that the demand of
	// another entry can take the slot.
	reservationTimeout = 20 * time.Millisecond
	// rebalanceDelay is how long there must be no input before idle slots are
	// distributed evenly.
	rebalanceDelay = 250 * time.Millisecond
)

// SlotAllocator distributes an agent's slots among entries. The sum of the granted
// slots never exceeds the capacity. A free slot goes to the demand with the
// smallest key. Without demands, idle slots are distributed evenly.
//
// A demand is valid until its entry replaces it, and an entry need not report
// that its key has grown. Therefore a key gives priority for no more slots than
// the demand asked for. Once a demand has got that many, it ranks behind all
// demands that have not, and such demands share the slots evenly. This way no
// waiting entry starves.
type SlotAllocator struct {
	capacity    int
	sequence    uint64
	rebalanceAt time.Duration
	holders     []holder
}

// holder is the state of one entry.
type holder struct {
	id          SessionID
	granted     int
	outstanding int
	// waiting is the number of slots that the entry's demand asks for.
	waiting int
	// key is the priority of the demand; smaller keys come first.
	key uint64
	// served is the number of slots that the entry got for the demand.
	served int
	// reserved is the number of slots that were granted for a demand and are not
	// used yet. They can't move to another entry before reservedUntil.
	reserved      int
	reservedUntil time.Duration
	// reported is the number of slots in the last Grant for this entry.
	reported int
}

// Grant is a change of the number of tasks that an entry may have outstanding.
type Grant struct {
	Session  SessionID
	Slots    int
	Sequence uint64
}

// neverReported marks a holder for which there was no Grant yet.
const neverReported = -1

// AddSession adds an entry and the number of tasks that it already has outstanding.
func (l *SlotAllocator) AddSession(now time.Duration, id SessionID, outstanding int) {
	l.holders = append(l.holders, holder{id: id, outstanding: outstanding, reported: neverReported})
	l.rebalanceAt = now
}

// RemoveSession removes an entry and revokes its slots.
func (l *SlotAllocator) RemoveSession(id SessionID) {
	for i := range l.holders {
		if l.holders[i].id == id {
			l.holders = append(l.holders[:i], l.holders[i+1:]...)
			return
		}
	}
}

// SetCapacity sets the number of slots to distribute.
func (l *SlotAllocator) SetCapacity(slots int) { l.capacity = slots }

// SetDemand replaces the demand of an entry: waiting is the number of slots that it
// asks for, and key is its priority. Smaller keys come first.
func (l *SlotAllocator) SetDemand(now time.Duration, id SessionID, waiting int, key uint64) {
	if h := l.find(id); h != nil {
		h.waiting, h.key, h.served = waiting, key, 0
		l.rebalanceAt = now + rebalanceDelay
	}
}

// TaskAdded counts a task that an entry has sent as outstanding.
func (l *SlotAllocator) TaskAdded(now time.Duration, id SessionID) {
	h := l.find(id)
	if h == nil {
		return
	}
	h.outstanding++
	if h.reserved > 0 {
		h.reserved--
	}
	l.rebalanceAt = now + rebalanceDelay
}

// TaskEnded handles the end of an outstanding task of an entry.
func (l *SlotAllocator) TaskEnded(now time.Duration, id SessionID) {
	if h := l.find(id); h != nil && h.outstanding > 0 {
		h.outstanding--
		l.rebalanceAt = now + rebalanceDelay
	}
}

// Settle distributes the slots and appends the changed grants to out.
func (l *SlotAllocator) Settle(now time.Duration, out []Grant) []Grant {
	l.shrink()
	for l.serveDemand(now) {
	}
	l.grantRest()
	if now >= l.rebalanceAt && !l.hasDemand() {
		l.rebalance(now)
	}
	for i := range l.holders {
		h := &l.holders[i]
		if h.granted != h.reported {
			h.reported = h.granted
			l.sequence++
			out = append(out, Grant{Session: h.id, Slots: h.granted, Sequence: l.sequence})
		}
	}
	return out
}

// NextWake returns the next time at which Settle may move slots without any other
// input; 0 means none.
func (l *SlotAllocator) NextWake(now time.Duration) time.Duration {
	if l.hasDemand() {
		return l.nextReservationEnd(now)
	}
	if l.rebalanceAt > now && l.unbalanced() {
		return l.rebalanceAt
	}
	return 0
}

// nextReservationEnd returns the earliest time at which a reservation ends.
func (l *SlotAllocator) nextReservationEnd(now time.Duration) time.Duration {
	var next time.Duration
	for i := range l.holders {
		h := &l.holders[i]
		if h.reserved > 0 && h.reservedUntil > now && (next == 0 || h.reservedUntil < next) {
			next = h.reservedUntil
		}
	}
	return next
}

func (l *SlotAllocator) find(id SessionID) *holder {
	for i := range l.holders {
		if l.holders[i].id == id {
			return &l.holders[i]
		}
	}
	return nil
}

func (l *SlotAllocator) granted() int {
	sum := 0
	for i := range l.holders {
		sum += l.holders[i].granted
	}
	return sum
}

// shrink revokes slots until the capacity isn't exceeded. Each slot is taken from
// the entry with the most unused slots.
func (l *SlotAllocator) shrink() {
	for excess := l.granted() - l.capacity; excess > 0; excess-- {
		most := &l.holders[0]
		for i := range l.holders {
			h := &l.holders[i]
			if h.granted > 0 && (most.granted == 0 || h.granted-h.outstanding > most.granted-most.outstanding) {
				most = h
			}
		}
		most.granted--
	}
}

// serveDemand assigns one slot to the most urgent demand and reports whether
// that was possible.
func (l *SlotAllocator) serveDemand(now time.Duration) bool {
	best := l.mostUrgent()
	if best == nil {
		return false
	}
	if l.granted() < l.capacity {
		best.granted++
		best.reserve(now)
		return true
	}
	if best.movable(now) > 0 {
		best.reserve(now)
		return true
	}
	donor := l.largestDonor(now)
	if donor == nil {
		return false
	}
	donor.granted--
	best.granted++
	best.reserve(now)
	return true
}

// mostUrgent returns the holder whose demand comes first among those that have
// fewer unused slots than they ask for.
func (l *SlotAllocator) mostUrgent() *holder {
	var best *holder
	for i := range l.holders {
		h := &l.holders[i]
		if h.waiting > 0 && h.granted-h.outstanding < h.waiting && (best == nil || h.before(best)) {
			best = h
		}
	}
	return best
}

// before reports whether a demand is served before another one.
func (h *holder) before(other *holder) bool {
	fresh, otherFresh := h.served < h.waiting, other.served < other.waiting
	switch {
	case fresh != otherFresh:
		return fresh
	case fresh:
		return h.key < other.key
	default:
		return h.granted < other.granted
	}
}

// largestDonor returns the holder with the most slots that can move; nil if no
// slot can.
func (l *SlotAllocator) largestDonor(now time.Duration) *holder {
	var donor *holder
	most := 0
	for i := range l.holders {
		if n := l.holders[i].movable(now); n > most {
			donor, most = &l.holders[i], n
		}
	}
	return donor
}

// grantRest grants each unassigned slot to the holder with the fewest slots.
func (l *SlotAllocator) grantRest() {
	if len(l.holders) == 0 {
		return
	}
	for rest := l.capacity - l.granted(); rest > 0; rest-- {
		l.fewestGranted().granted++
	}
}

func (l *SlotAllocator) fewestGranted() *holder {
	least := &l.holders[0]
	for i := range l.holders {
		if l.holders[i].granted < least.granted {
			least = &l.holders[i]
		}
	}
	return least
}

func (l *SlotAllocator) hasDemand() bool {
	for i := range l.holders {
		if l.holders[i].waiting > 0 {
			return true
		}
	}
	return false
}

// unbalanced reports whether the slots of two holders differ by more than one.
func (l *SlotAllocator) unbalanced() bool {
	if len(l.holders) < 2 {
		return false
	}
	least, most := l.holders[0].granted, l.holders[0].granted
	for i := range l.holders {
		least = min(least, l.holders[i].granted)
		most = max(most, l.holders[i].granted)
	}
	return most-least > 1
}

// rebalance moves idle slots from the holders with the most slots to those with
// the fewest.
func (l *SlotAllocator) rebalance(now time.Duration) {
	for l.unbalanced() {
		least := l.fewestGranted()
		most := least
		for i := range l.holders {
			h := &l.holders[i]
			if h.movable(now) > 0 && h.granted > most.granted {
				most = h
			}
		}
		if most.granted-least.granted < 2 {
			return
		}
		most.granted--
		least.granted++
	}
}

// movable returns the number of slots that are neither used nor reserved.
func (h *holder) movable(now time.Duration) int {
	idle := h.granted - h.outstanding
	if now < h.reservedUntil {
		idle -= h.reserved
	}
	return max(idle, 0)
}

// reserve reserves one unused slot of the holder for its demand.
func (h *holder) reserve(now time.Duration) {
	if now >= h.reservedUntil {
		h.reserved = 0
	}
	h.served++
	h.reserved++
	h.reservedUntil = now + reservationTimeout
}
