package placement

import (
	"container/heap"
	"time"
)

type taskPhase uint8

const (
	taskWaiting taskPhase = iota
	taskOut               // sent to an agent
	taskHeld              // not run, until Requeue
	taskEnded
)

type taskState struct {
	agent *agent        // while out
	sent  time.Duration // since the dispatcher's epoch, while out
	state taskPhase
}

// job is one accepted job.
type job struct {
	info      JobInfo
	queue     *queue
	tasks     []taskState
	next      uint32   // first task that has never been sent
	again     []uint32 // tasks to be sent again
	waiting   int
	out       int // tasks at agents
	remaining int // tasks that have not ended
	key       uint64
	heapAt    int // index in the queue's heap, -1 when not there
	removed   bool
	removedAt time.Time // set when first seen after the removal
}

func newJob(info JobInfo, q *queue) *job {
	return &job{
		info:      info,
		queue:     q,
		tasks:     make([]taskState, info.Tasks),
		remaining: info.Tasks,
		heapAt:    -1,
	}
}

// take returns the next waiting task and marks it as sent to the agent.
func (j *job) take(a *agent, at time.Duration) uint32 {
	task := j.next
	if n := len(j.again); n > 0 {
		task = j.again[n-1]
		j.again = j.again[:n-1]
	} else {
		j.next++
	}
	j.tasks[task] = taskState{agent: a, sent: at, state: taskOut}
	j.out++
	return task
}

type queueKey struct{ service, team string }

// queue holds the waiting jobs of one team for one service.
type queue struct {
	service  *service
	team     *team
	jobs     jobHeap
	activeAt int // index in Dispatcher.active, -1 when nothing waits
}

func (d *Dispatcher) queue(serviceName, teamName string) *queue {
	key := queueKey{serviceName, teamName}
	q := d.queues[key]
	if q == nil {
		q = &queue{service: d.service(serviceName), team: d.team(teamName), activeAt: -1}
		d.queues[key] = q
	}
	return q
}

// wait adds n waiting tasks of a job.
func (d *Dispatcher) wait(j *job, n int) {
	d.countWaiting(j, n)
	if j.heapAt >= 0 {
		return
	}
	d.waitingBytes += j.info.Bytes
	j.key = d.order.key(d, j)
	heap.Push(&j.queue.jobs, j)
	d.activate(j.queue)
}

func (d *Dispatcher) countWaiting(j *job, n int) {
	j.waiting += n
	j.queue.team.waiting += n
	j.queue.service.waiting += n
	d.waiting += n
}

// unwait counts one waiting task of a job as sent.
func (d *Dispatcher) unwait(j *job) {
	d.countWaiting(j, -1)
	if j.waiting == 0 {
		d.unlist(j)
	}
}

// forgetWaiting drops all waiting tasks of a job.
func (d *Dispatcher) forgetWaiting(j *job) {
	d.countWaiting(j, -j.waiting)
	if j.heapAt >= 0 {
		d.unlist(j)
	}
}

func (d *Dispatcher) unlist(j *job) {
	d.waitingBytes -= j.info.Bytes
	heap.Remove(&j.queue.jobs, j.heapAt)
	if len(j.queue.jobs.items) == 0 {
		d.deactivate(j.queue)
	}
}

// reorder moves a job to its place after its remaining work has changed.
func (d *Dispatcher) reorder(j *job) {
	if j.heapAt < 0 {
		return
	}
	j.key = d.order.key(d, j)
	heap.Fix(&j.queue.jobs, j.heapAt)
}

func (d *Dispatcher) activate(q *queue) {
	if q.activeAt >= 0 {
		return
	}
	q.activeAt = len(d.active)
	d.active = append(d.active, q)
}

func (d *Dispatcher) deactivate(q *queue) {
	last := d.active[len(d.active)-1]
	d.active[q.activeAt] = last
	last.activeAt = q.activeAt
	d.active = d.active[:len(d.active)-1]
	q.activeAt = -1
}

// jobHeap is a heap of jobs by key, then by job number.
type jobHeap struct{ items []*job }

func (h *jobHeap) Len() int { return len(h.items) }

func (h *jobHeap) Less(i, k int) bool { return h.items[i].before(h.items[k]) }

func (h *jobHeap) Swap(i, k int) {
	h.items[i], h.items[k] = h.items[k], h.items[i]
	h.items[i].heapAt = i
	h.items[k].heapAt = k
}

func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.heapAt = len(h.items)
	h.items = append(h.items, j)
}

func (h *jobHeap) Pop() any {
	n := len(h.items) - 1
	j := h.items[n]
	h.items[n] = nil
	h.items = h.items[:n]
	j.heapAt = -1
	return j
}

// before orders jobs by key and then by number.
func (j *job) before(k *job) bool {
	if j.key != k.key {
		return j.key < k.key
	}
	return j.info.Job < k.info.Job
}
