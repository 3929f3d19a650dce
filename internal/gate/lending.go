package gate

import "time"

const (
	// reserveTime is how long a slot lent for a demand is kept for its entry
	// before another entry's demand can move it: the task that uses it is on
	// its way.
	reserveTime = 20 * time.Millisecond
	// evenDelay is how long nothing happens before idle slots are evened out.
	evenDelay = 250 * time.Millisecond
)

// Lending divides an agent's slots among entries. The sum of what is lent is
// never over the capacity. A slot that gets free goes to the demand with the
// smallest key; without demands, idle slots are lent evenly.
//
// A demand stands until its entry replaces it, and an entry need not say when
// its key grows. So a key orders no more slots than the demand asked for; after
// that the demand stands behind those with a newer key, and demands of that
// kind share evenly. No entry that waits is left without slots for long.
type Lending struct {
	capacity int
	sequence uint64
	evenAt   time.Duration
	holders  []holder
}

// holder is what one entry holds.
type holder struct {
	id          SessionID
	lent        int
	outstanding int
	// waiting and key are its standing demand; served is the number of slots
	// it got for it.
	waiting int
	key     uint64
	served  int
	// reserved slots were lent for a demand and not used yet; they can't move
	// before reservedUntil.
	reserved      int
	reservedUntil time.Duration
	told          int
}

// Grant is a change of what an entry may have outstanding.
type Grant struct {
	Session  SessionID
	Slots    int
	Sequence uint64
}

// neverTold marks a holder that has got no grant yet.
const neverTold = -1

// Join adds an entry with a number of tasks that it already has outstanding.
func (l *Lending) Join(now time.Duration, id SessionID, outstanding int) {
	l.holders = append(l.holders, holder{id: id, outstanding: outstanding, told: neverTold})
	l.evenAt = now
}

// Leave takes back all that an entry holds.
func (l *Lending) Leave(id SessionID) {
	for i := range l.holders {
		if l.holders[i].id == id {
			l.holders = append(l.holders[:i], l.holders[i+1:]...)
			return
		}
	}
}

// SetCapacity sets the number of slots to lend.
func (l *Lending) SetCapacity(slots int) { l.capacity = slots }

// Demand replaces what an entry asks for.
func (l *Lending) Demand(now time.Duration, id SessionID, waiting int, key uint64) {
	if h := l.find(id); h != nil {
		h.waiting, h.key, h.served = waiting, key, 0
		l.evenAt = now + evenDelay
	}
}

// Begun counts a task that an entry has sent.
func (l *Lending) Begun(now time.Duration, id SessionID) {
	h := l.find(id)
	if h == nil {
		return
	}
	h.outstanding++
	if h.reserved > 0 {
		h.reserved--
	}
	l.evenAt = now + evenDelay
}

// Ended counts the end of a task that an entry had outstanding.
func (l *Lending) Ended(now time.Duration, id SessionID) {
	if h := l.find(id); h != nil && h.outstanding > 0 {
		h.outstanding--
		l.evenAt = now + evenDelay
	}
}

// Settle moves slots and appends the grants that changed to out.
func (l *Lending) Settle(now time.Duration, out []Grant) []Grant {
	l.shrink()
	for l.serveDemand(now) {
	}
	l.lendRest()
	if now >= l.evenAt && !l.demanded() {
		l.even(now)
	}
	for i := range l.holders {
		h := &l.holders[i]
		if h.lent != h.told {
			h.told = h.lent
			l.sequence++
			out = append(out, Grant{Session: h.id, Slots: h.lent, Sequence: l.sequence})
		}
	}
	return out
}

// Wake returns the next time at which Settle may have something to move,
// though nothing has happened; 0 is none.
func (l *Lending) Wake(now time.Duration) time.Duration {
	if l.demanded() {
		return l.nextExpiry(now)
	}
	if l.evenAt > now && l.uneven() {
		return l.evenAt
	}
	return 0
}

// nextExpiry is the first time at which a reservation ends.
func (l *Lending) nextExpiry(now time.Duration) time.Duration {
	var next time.Duration
	for i := range l.holders {
		h := &l.holders[i]
		if h.reserved > 0 && h.reservedUntil > now && (next == 0 || h.reservedUntil < next) {
			next = h.reservedUntil
		}
	}
	return next
}

func (l *Lending) find(id SessionID) *holder {
	for i := range l.holders {
		if l.holders[i].id == id {
			return &l.holders[i]
		}
	}
	return nil
}

func (l *Lending) lent() int {
	sum := 0
	for i := range l.holders {
		sum += l.holders[i].lent
	}
	return sum
}

// shrink takes slots back until the capacity holds: those least used first.
func (l *Lending) shrink() {
	for excess := l.lent() - l.capacity; excess > 0; excess-- {
		most := &l.holders[0]
		for i := range l.holders {
			h := &l.holders[i]
			if h.lent > 0 && (most.lent == 0 || h.lent-h.outstanding > most.lent-most.outstanding) {
				most = h
			}
		}
		most.lent--
	}
}

// serveDemand gives one slot to the most urgent demand; false if it can't.
func (l *Lending) serveDemand(now time.Duration) bool {
	best := l.mostUrgent()
	if best == nil {
		return false
	}
	if l.lent() < l.capacity {
		best.lent++
		best.reserve(now)
		return true
	}
	if best.movable(now) > 0 {
		best.reserve(now)
		return true
	}
	donor := l.richest(now)
	if donor == nil {
		return false
	}
	donor.lent--
	best.lent++
	best.reserve(now)
	return true
}

// mostUrgent is the first demand that has less unused slots than it asks for.
func (l *Lending) mostUrgent() *holder {
	var best *holder
	for i := range l.holders {
		h := &l.holders[i]
		if h.waiting > 0 && h.lent-h.outstanding < h.waiting && (best == nil || h.before(best)) {
			best = h
		}
	}
	return best
}

// before tells whether a demand is served before another one.
func (h *holder) before(other *holder) bool {
	fresh, otherFresh := h.served < h.waiting, other.served < other.waiting
	switch {
	case fresh != otherFresh:
		return fresh
	case fresh:
		return h.key < other.key
	default:
		return h.lent < other.lent
	}
}

// richest is the holder with the most slots that can move.
func (l *Lending) richest(now time.Duration) *holder {
	var donor *holder
	most := 0
	for i := range l.holders {
		if n := l.holders[i].movable(now); n > most {
			donor, most = &l.holders[i], n
		}
	}
	return donor
}

// lendRest lends slots that nobody holds to those who hold the least.
func (l *Lending) lendRest() {
	if len(l.holders) == 0 {
		return
	}
	for rest := l.capacity - l.lent(); rest > 0; rest-- {
		l.poorest().lent++
	}
}

func (l *Lending) poorest() *holder {
	least := &l.holders[0]
	for i := range l.holders {
		if l.holders[i].lent < least.lent {
			least = &l.holders[i]
		}
	}
	return least
}

func (l *Lending) demanded() bool {
	for i := range l.holders {
		if l.holders[i].waiting > 0 {
			return true
		}
	}
	return false
}

// uneven tells whether two holders differ by more than one slot.
func (l *Lending) uneven() bool {
	if len(l.holders) < 2 {
		return false
	}
	least, most := l.holders[0].lent, l.holders[0].lent
	for i := range l.holders {
		least = min(least, l.holders[i].lent)
		most = max(most, l.holders[i].lent)
	}
	return most-least > 1
}

// even moves idle slots from those who hold the most to those with the least.
func (l *Lending) even(now time.Duration) {
	for l.uneven() {
		poor := l.poorest()
		rich := poor
		for i := range l.holders {
			h := &l.holders[i]
			if h.movable(now) > 0 && h.lent > rich.lent {
				rich = h
			}
		}
		if rich.lent-poor.lent < 2 {
			return
		}
		rich.lent--
		poor.lent++
	}
}

// movable is the number of slots that are neither used nor reserved.
func (h *holder) movable(now time.Duration) int {
	idle := h.lent - h.outstanding
	if now < h.reservedUntil {
		idle -= h.reserved
	}
	return max(idle, 0)
}

// reserve sets one unused slot of the holder aside for its demand.
func (h *holder) reserve(now time.Duration) {
	if now >= h.reservedUntil {
		h.reserved = 0
	}
	h.served++
	h.reserved++
	h.reservedUntil = now + reserveTime
}
