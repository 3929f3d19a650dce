package placement

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"endivewing/internal/baseline"
)

// fakeFleet is a discrete-event simulation of several dispatchers and agents. An
// agent runs as many tasks as it has slots, queues the others and reports its
// load with each outcome. Each message takes oneWayDelay.
type fakeFleet struct {
	entries     []*Dispatcher
	agents      []*fakeAgent
	jobs        []fleetJob
	now         time.Time
	events      eventHeap
	eventCount  int
	oneWayDelay time.Duration
	rand        *rand.Rand
	byKey       bool // agents sort their queues by key instead of arrival
}

type fleetJob struct {
	baseline.Job
	entry     int
	team      string
	remaining int // number of tasks that have not ended
	end       time.Time
	failed    bool
	refused   bool
	declared  time.Duration // sum of the declared run times
}

type fakeTask struct {
	entry int
	job   int
	task  uint32
	key   uint64
}

type fakeAgent struct {
	number      uint64
	slots       int
	running     int
	queue       []fakeTask
	slowdown    float64 // factor of the run times; 1 is normal
	failureRate float64 // part of the tasks that fail
	started     int     // number of tasks started so far
}

type event struct {
	at       time.Time
	sequence int // sorts events of the same time
	action   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, k int) bool {
	if h[i].at.Equal(h[k].at) {
		return h[i].sequence < h[k].sequence
	}
	return h[i].at.Before(h[k].at)
}
func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

func newFleet(cfg Config, entries, agents, slots int) *fakeFleet {
	f := &fakeFleet{now: start, oneWayDelay: 1500 * time.Microsecond, rand: rand.New(rand.NewPCG(1, 1)), byKey: true}
	for i := range agents {
		f.agents = append(f.agents, &fakeAgent{number: uint64(i + 1), slots: slots, slowdown: 1})
	}
	for i := range entries {
		cfg.Seed = uint64(i + 1)
		d := New(cfg)
		var set []Agent
		for _, a := range f.agents {
			set = append(set, Agent{Incarnation: a.number, Slots: uint32(slots), Services: []string{"crop"}, Connected: true})
		}
		d.SetAgents(set)
		d.SetEntryCount(entries)
		f.entries = append(f.entries, d)
	}
	return f
}

// after schedules an action at the present simulated time plus d.
func (f *fakeFleet) after(d time.Duration, action func()) {
	f.eventCount++
	heap.Push(&f.events, event{at: f.now.Add(d), sequence: f.eventCount, action: action})
}

// run submits the jobs and simulates until all events are handled. Each entry
// also calls Next every 100 ms, so that agents can leave their backoff.
func (f *fakeFleet) run(jobs []fleetJob) {
	for i := range f.entries {
		for at := time.Duration(0); at < jobs[len(jobs)-1].Arrival; at += 100 * time.Millisecond {
			f.after(at, func() { f.sendAll(i) })
		}
	}
	f.jobs = jobs
	for i := range jobs {
		jobs[i].remaining = len(jobs[i].RunTimes)
		f.after(jobs[i].Arrival, func() { f.arrive(i) })
	}
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.action()
	}
}

func (f *fakeFleet) arrive(i int) {
	j := &f.jobs[i]
	info := JobInfo{Job: uint64(i + 1), Team: j.team, Service: "crop", Tasks: len(j.RunTimes), Accepted: f.now}
	info.DeclaredMs = uint64(j.declared.Milliseconds())
	if _, ok := f.entries[j.entry].Admit(info, f.now); !ok {
		j.refused = true
		return
	}
	f.entries[j.entry].Add(info, f.now)
	f.sendAll(j.entry)
}

// sendAll sends all tasks that an entry can place, and its recalls.
func (f *fakeFleet) sendAll(entry int) {
	d := f.entries[entry]
	for a, ok := d.Next(f.now); ok; a, ok = d.Next(f.now) {
		t := fakeTask{entry: entry, job: int(a.Job) - 1, task: a.Task, key: a.Key}
		agent := f.agents[a.Incarnation-1]
		f.after(f.oneWayDelay, func() { f.deliver(agent, t) })
	}
	for _, r := range d.TakeRecalls() {
		agent := f.agents[r.Incarnation-1]
		f.after(f.oneWayDelay, func() { f.recall(agent, entry, r) })
	}
}

// recall returns a queued task to the entry. A task that has started continues.
func (f *fakeFleet) recall(a *fakeAgent, entry int, r Recall) {
	for i, t := range a.queue {
		if t.entry != entry || t.job != int(r.Job)-1 || t.task != r.Task {
			continue
		}
		a.queue = slices.Delete(a.queue, i, i+1)
		f.after(f.oneWayDelay, func() {
			f.entries[entry].HandleOutcome(a.number, r.Job, r.Task, NotRun, 0, f.now)
			f.entries[entry].Requeue(r.Job, r.Task)
			f.sendAll(entry)
		})
		return
	}
}

func (f *fakeFleet) deliver(a *fakeAgent, t fakeTask) {
	a.queue = append(a.queue, t)
	if f.byKey {
		slices.SortStableFunc(a.queue, func(x, y fakeTask) int {
			if x.key < y.key {
				return -1
			}
			return 1
		})
	}
	f.startNext(a)
}

func (f *fakeFleet) startNext(a *fakeAgent) {
	for a.running < a.slots && len(a.queue) > 0 {
		t := a.queue[0]
		a.queue = a.queue[1:]
		a.running++
		a.started++
		run := time.Duration(float64(f.jobs[t.job].RunTimes[t.task]) * a.slowdown)
		failed := f.rand.Float64() < a.failureRate
		if failed {
			run = time.Millisecond
		}
		f.after(run, func() { f.endTask(a, t, run, failed) })
	}
}

func (f *fakeFleet) endTask(a *fakeAgent, t fakeTask, run time.Duration, failed bool) {
	a.running--
	f.startNext(a)
	load := a.running + len(a.queue)
	f.after(f.oneWayDelay, func() { f.deliverOutcome(a, t, run, load, failed) })
}

func (f *fakeFleet) deliverOutcome(a *fakeAgent, t fakeTask, run time.Duration, load int, failed bool) {
	d := f.entries[t.entry]
	d.SetLoad(a.number, load)
	j := &f.jobs[t.job]
	if failed {
		d.HandleOutcome(a.number, uint64(t.job+1), t.task, Failed, run, f.now)
		j.failed = true
		d.Remove(uint64(t.job + 1))
	} else {
		d.HandleOutcome(a.number, uint64(t.job+1), t.task, Done, run, f.now)
		if j.remaining--; j.remaining == 0 {
			j.end = f.now
			d.Remove(uint64(t.job + 1))
		}
	}
	f.sendAll(t.entry)
}

// lags returns the sorted lags of the complete jobs that arrived after the
// warm-up, against the lower bound on this number of slots.
func (f *fakeFleet) lags(slots int, warmup time.Duration) []time.Duration {
	var lags []time.Duration
	for _, j := range f.jobs {
		if j.remaining == 0 && j.Arrival >= warmup {
			lags = append(lags, j.end.Sub(start)-j.Arrival-baseline.LowerBound(slots, j.RunTimes))
		}
	}
	slices.Sort(lags)
	return lags
}

// poissonJobs draws jobs with Poisson arrivals, geometric sizes and exponential
// run times, distributed over the entries in turn.
func poissonJobs(seed uint64, entries int, perSecond, meanTasks float64, meanRun, length time.Duration) []fleetJob {
	r := rand.New(rand.NewPCG(seed, 5))
	var jobs []fleetJob
	at := time.Duration(0)
	for {
		at += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
		if at > length {
			return jobs
		}
		j := fleetJob{entry: len(jobs) % entries, team: "x"}
		j.Arrival = at
		n := min(390, 1+int(math.Log(1-r.Float64())/math.Log(1-1/meanTasks)))
		for range n {
			j.RunTimes = append(j.RunTimes, time.Duration(r.ExpFloat64()*float64(meanRun)))
		}
		jobs = append(jobs, j)
	}
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
