package owner

import (
	"container/heap"
	"time"
)

// timer is a time at which a job must be checked.
type timer struct {
	at  time.Time
	job uint64
}

// timers is a heap with the earliest timer first.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, k int) bool { return t[i].at.Before(t[k].at) }
func (t timers) Swap(i, k int)      { t[i], t[k] = t[k], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func (t *timers) add(at time.Time, job uint64) { heap.Push(t, timer{at: at, job: job}) }

// popDue removes the earliest timer if it is due. ok is false if none is.
func (t *timers) popDue(now time.Time) (job uint64, ok bool) {
	if len(*t) == 0 || now.Before((*t)[0].at) {
		return 0, false
	}
	return heap.Pop(t).(timer).job, true
}

func (t timers) next() time.Time {
	if len(t) == 0 {
		return time.Time{}
	}
	return t[0].at
}
