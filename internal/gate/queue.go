package gate

import "time"

// taskQueue holds the tasks that wait for a slot, by key and then by arrival,
// as a list, so that a recalled task leaves at once.
type taskQueue struct {
	head, tail *flight
	tasks      int
	bytes      int
}

func (q *taskQueue) push(f *flight) {
	f.prev = q.tail
	for f.prev != nil && f.prev.request.Key > f.request.Key {
		f.next = f.prev
		f.prev = f.prev.prev
	}
	if f.prev == nil {
		q.head = f
	} else {
		f.prev.next = f
	}
	if f.next == nil {
		q.tail = f
	} else {
		f.next.prev = f
	}
	q.tasks++
	q.bytes += f.bytes
}

// remove takes a queued task out.
func (q *taskQueue) remove(f *flight) {
	if f.prev == nil {
		q.head = f.next
	} else {
		f.prev.next = f.next
	}
	if f.next == nil {
		q.tail = f.prev
	} else {
		f.next.prev = f.prev
	}
	f.prev, f.next = nil, nil
	q.tasks--
	q.bytes -= f.bytes
}

// dueTimer keeps a lower bound of the next deadline, so that deadlines are
// looked through only when one may have passed.
type dueTimer struct{ next time.Duration }

func (t *dueTimer) add(deadline time.Duration) {
	if deadline != 0 && (t.next == 0 || deadline < t.next) {
		t.next = deadline
	}
}

func (t *dueTimer) due(now time.Duration) bool { return t.next != 0 && now >= t.next }
