package placement

import (
	"container/heap"
	"time"
)

type taskPhase uint8

const (
	taskWaiting taskPhase = iota
	taskAtAgent           // sent to an agent, without an outcome yet
	taskNotRun            // returned by the agent or never sent; waits for Requeue
	taskEnded
)

type taskState struct {
	agent  *agent        // while outstanding, otherwise nil
	sentAt time.Duration // time of sending since the dispatcher's epoch
	phase  taskPhase
}

// job is one accepted job.
type job struct {
	info       JobInfo
	queue      *queue
	tasks      []taskState
	nextUnsent uint32    // first task that has never been sent
	requeued   []uint32  // tasks that wait again; assigned first
	waiting    int       // number of waiting tasks
	atAgents   int       // number of tasks at agents
	remaining  int       // number of tasks that have not ended
	key        uint64    // priority by the order; the smallest is served first
	heapIndex  int       // index in the queue's heap, -1 when the job is not in it
	removed    bool      // by Remove
	removedAt  time.Time // set by the first Next after Remove, which knows no time
}

func newJob(info JobInfo, q *queue) *job {
	return &job{
		info:      info,
		queue:     q,
		tasks:     make([]taskState, info.Tasks),
		remaining: info.Tasks,
		heapIndex: -1,
	}
}

// takeTask returns the next waiting task and marks it as being at the
// agent. Requeued tasks come first.
func (j *job) takeTask(a *agent, at time.Duration) uint32 {
	task := j.nextUnsent
	if n := len(j.requeued); n > 0 {
		task = j.requeued[n-1]
		j.requeued = j.requeued[:n-1]
	} else {
		j.nextUnsent++
	}
	j.tasks[task] = taskState{agent: a, sentAt: at, phase: taskAtAgent}
	j.atAgents++
	return task
}

type queueKey struct{ service, team string }

// queue holds the waiting jobs of one team for one service.
type queue struct {
	service     *service
	team        *team
	jobs        jobHeap
	activeIndex int // index in Dispatcher.activeQueues, -1 when no task waits
}

func (d *Dispatcher) queue(serviceName, teamName string) *queue {
	key := queueKey{serviceName, teamName}
	q := d.queues[key]
	if q == nil {
		q = &queue{service: d.service(serviceName), team: d.team(teamName), activeIndex: -1}
		d.queues[key] = q
	}
	return q
}

// addWaiting adds n waiting tasks of a job and puts the job into its queue.
func (d *Dispatcher) addWaiting(j *job, n int) {
	d.adjustWaiting(j, n)
	if j.heapIndex >= 0 {
		return
	}
	d.waitingBytes += j.info.Bytes
	j.key = d.order.key(d, j)
	heap.Push(&j.queue.jobs, j)
	d.activate(j.queue)
}

// adjustWaiting adds n, which may be negative, to all counts of waiting tasks.
func (d *Dispatcher) adjustWaiting(j *job, n int) {
	j.waiting += n
	j.queue.team.waiting += n
	j.queue.service.waiting += n
	d.waiting += n
}

// removeWaiting subtracts one waiting task of a job, which has been assigned.
func (d *Dispatcher) removeWaiting(j *job) {
	d.adjustWaiting(j, -1)
	if j.waiting == 0 {
		d.dequeue(j)
	}
}

// dropWaiting drops all waiting tasks of a job.
func (d *Dispatcher) dropWaiting(j *job) {
	d.adjustWaiting(j, -j.waiting)
	if j.heapIndex >= 0 {
		d.dequeue(j)
	}
}

func (d *Dispatcher) dequeue(j *job) {
	d.waitingBytes -= j.info.Bytes
	heap.Remove(&j.queue.jobs, j.heapIndex)
	if len(j.queue.jobs.items) == 0 {
		d.deactivate(j.queue)
	}
}

// updateKey computes the key of a job anew and restores the order of its queue
// after the number of remaining tasks has changed.
func (d *Dispatcher) updateKey(j *job) {
	if j.heapIndex < 0 {
		return
	}
	j.key = d.order.key(d, j)
	heap.Fix(&j.queue.jobs, j.heapIndex)
}

func (d *Dispatcher) activate(q *queue) {
	if q.activeIndex >= 0 {
		return
	}
	q.activeIndex = len(d.activeQueues)
	d.activeQueues = append(d.activeQueues, q)
}

func (d *Dispatcher) deactivate(q *queue) {
	last := d.activeQueues[len(d.activeQueues)-1]
	d.activeQueues[q.activeIndex] = last
	last.activeIndex = q.activeIndex
	d.activeQueues = d.activeQueues[:len(d.activeQueues)-1]
	q.activeIndex = -1
}

// jobHeap is a min-heap of jobs by key, then by job number.
type jobHeap struct{ items []*job }

func (h *jobHeap) Len() int { return len(h.items) }

func (h *jobHeap) Less(i, k int) bool { return h.items[i].before(h.items[k]) }

func (h *jobHeap) Swap(i, k int) {
	h.items[i], h.items[k] = h.items[k], h.items[i]
	h.items[i].heapIndex = i
	h.items[k].heapIndex = k
}

func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(h.items)
	h.items = append(h.items, j)
}

func (h *jobHeap) Pop() any {
	n := len(h.items) - 1
	j := h.items[n]
	h.items[n] = nil
	h.items = h.items[:n]
	j.heapIndex = -1
	return j
}

// before reports whether j is served before k: by key, then by job number.
func (j *job) before(k *job) bool {
	if j.key != k.key {
		return j.key < k.key
	}
	return j.info.Job < k.info.Job
}
