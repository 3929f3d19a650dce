// Package yardstick computes the ideal that response times are measured
// against.
//
// Two ideals are used. LowerBound is the least time in which any scheduler
// could answer a job that had every slot to itself; the lag of an answer is its
// response time minus that. CentralQueue is what an omniscient queue in front
// of all slots reaches with the same arrivals and true run times, without any
// latency; its lag shows how much of a measured lag is only load.
package yardstick

import (
	"container/heap"
	"slices"
	"time"
)

// Job is one arrival.
type Job struct {
	// Arrival is the time since the start of the run.
	Arrival time.Duration
	// Runs are the true run times of its tasks.
	Runs []time.Duration
}

// LowerBound is max(longest task, sum of the tasks / slots).
func LowerBound(slots int, runs []time.Duration) time.Duration {
	var longest, sum time.Duration
	for _, r := range runs {
		longest = max(longest, r)
		sum += r
	}
	return max(longest, sum/time.Duration(slots))
}

// CentralQueue returns when each job ends, since the start of the run, if every
// task goes to the first free of all slots, first come first served. Jobs that
// arrive together are served in the given order.
func CentralQueue(slots int, jobs []Job) []time.Duration {
	free := make(slotHeap, slots)
	ends := make([]time.Duration, len(jobs))
	for _, i := range byArrival(jobs) {
		ends[i] = jobs[i].Arrival
		for _, run := range jobs[i].Runs {
			end := max(free[0], jobs[i].Arrival) + run
			free[0] = end
			heap.Fix(&free, 0)
			ends[i] = max(ends[i], end)
		}
	}
	return ends
}

// Lags returns, for each job, its end minus its arrival and its lower bound.
func Lags(slots int, jobs []Job, ends []time.Duration) []time.Duration {
	lags := make([]time.Duration, len(jobs))
	for i, j := range jobs {
		lags[i] = ends[i] - j.Arrival - LowerBound(slots, j.Runs)
	}
	return lags
}

func byArrival(jobs []Job) []int {
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return int(jobs[a].Arrival - jobs[b].Arrival)
	})
	return order
}

// slotHeap holds when each slot becomes free.
type slotHeap []time.Duration

func (h slotHeap) Len() int           { return len(h) }
func (h slotHeap) Less(i, k int) bool { return h[i] < h[k] }
func (h slotHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push and Pop complete heap.Interface; the number of slots never changes.
func (h *slotHeap) Push(x any) { *h = append(*h, x.(time.Duration)) }

// Pop removes the last slot.
func (h *slotHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
