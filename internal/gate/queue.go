package gate

import "time"

// taskQueue holds the tasks that wait for a slot, ordered by key and then by
// arrival. It is a linked list, so that a recalled task is removed in constant
// time.
type taskQueue struct {
	head, tail *inFlightTask
	tasks      int
	bytes      int
}

func (q *taskQueue) push(f *inFlightTask) {
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

// remove removes a queued task.
func (q *taskQueue) remove(f *inFlightTask) {
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

// deadlineTimer keeps a lower bound of the next deadline, so that the tasks are
// scanned only when a deadline may have passed.
type deadlineTimer struct{ next time.Duration }

func (t *deadlineTimer) add(deadline time.Duration) {
	if deadline != 0 && (t.next == 0 || deadline < t.next) {
		t.next = deadline
	}
}

func (t *deadlineTimer) due(now time.Duration) bool { return t.next != 0 && now >= t.next }
