// Package baseline computes ideal response times, to which measured response
// times are compared.
//
// There are two ideals. LowerBound is the least time in which any scheduler could
// complete a job that had all slots to itself; the lag of a job is its response
// time minus this bound. CentralQueueEnds simulates a central queue in front of all
// slots, with the same arrivals and run times and without any latency; its lag is
// the part of a measured lag that the load alone explains.
package baseline

import (
	"container/heap"
	"slices"
	"time"
)

// Job is the arrival time and the run times of one job.
type Job struct {
	// Arrival is the time of arrival since the start of the run.
	Arrival time.Duration
	// RunTimes are the actual run times of its tasks.
	RunTimes []time.Duration
}

// LowerBound returns the least time in which a job can complete on this number of
// slots: max(longest run time, sum of the run times / slots).
func LowerBound(slots int, runs []time.Duration) time.Duration {
	var longest, sum time.Duration
	for _, r := range runs {
		longest = max(longest, r)
		sum += r
	}
	return max(longest, sum/time.Duration(slots))
}

// CentralQueueEnds returns the time at which each job ends, since the start of the
// run, when every task goes to the slot that becomes free first and jobs are served
// first come, first served. Jobs that arrive at the same time are served in the
// given order. The results are in the order of jobs.
func CentralQueueEnds(slots int, jobs []Job) []time.Duration {
	free := make(slotHeap, slots)
	ends := make([]time.Duration, len(jobs))
	for _, i := range byArrival(jobs) {
		ends[i] = jobs[i].Arrival
		for _, run := range jobs[i].RunTimes {
			end := max(free[0], jobs[i].Arrival) + run
			free[0] = end
			heap.Fix(&free, 0)
			ends[i] = max(ends[i], end)
		}
	}
	return ends
}

// Lags returns the lag of each job: its end minus its arrival minus its lower
// bound. ends holds the end of each job in the order of jobs, since the start of
// the run.
func Lags(slots int, jobs []Job, ends []time.Duration) []time.Duration {
	lags := make([]time.Duration, len(jobs))
	for i, j := range jobs {
		lags[i] = ends[i] - j.Arrival - LowerBound(slots, j.RunTimes)
	}
	return lags
}

// byArrival returns the indexes of the jobs, sorted by arrival.
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

// slotHeap is a min-heap of the times at which the slots become free.
type slotHeap []time.Duration

func (h slotHeap) Len() int           { return len(h) }
func (h slotHeap) Less(i, k int) bool { return h[i] < h[k] }
func (h slotHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push adds a slot. It is needed only for heap.Interface, since the number of
// slots never changes.
func (h *slotHeap) Push(x any) { *h = append(*h, x.(time.Duration)) }

// Pop removes the last slot. It is needed only for heap.Interface.
func (h *slotHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
