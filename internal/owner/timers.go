package owner

import (
	"container/heap"
	"time"
)

// timer is a time at which a job must be looked at.
type timer struct {
	when time.Time
	job  uint64
}

// timers is a heap, the earliest first.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, k int) bool { return t[i].when.Before(t[k].when) }
func (t timers) Swap(i, k int)      { t[i], t[k] = t[k], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func (t *timers) add(when time.Time, job uint64) { heap.Push(t, timer{when: when, job: job}) }

// due takes out one timer that has passed.
func (t *timers) due(now time.Time) (job uint64, ok bool) {
	if len(*t) == 0 || now.Before((*t)[0].when) {
		return 0, false
	}
	return heap.Pop(t).(timer).job, true
}

func (t timers) next() time.Time {
	if len(t) == 0 {
		return time.Time{}
	}
	return t[0].when
}
