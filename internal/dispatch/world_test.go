package dispatch

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"endivewing/internal/runtable"
	"endivewing/internal/subset"
)

// class is one kind of job of a recorded load: the order desks' and the photo
// proofs' kinds have the same shape.
type class struct {
	perSecond float64
	width     float64
	work      time.Duration
	priority  int
	worth     float64
}

// daily are the kinds of the users' loads, 140 jobs a second in all.
var daily = []class{
	{perSecond: 34.4, width: 8, work: 60 * time.Millisecond, priority: 0, worth: 0.0291},
	{perSecond: 6.25, width: 4, work: 900 * time.Millisecond, priority: 2, worth: 0.16},
	{perSecond: 100, width: 2, work: 200 * time.Millisecond, priority: 1, worth: 0.01},
}

const (
	taskCPU = 3100
	// hop is the time of a message between hosts.
	hop = 2 * time.Millisecond
	// estimateSpread and taskSpread are the deviations of the logarithm of a
	// job's estimate, and of its tasks' run times.
	estimateSpread, taskSpread = 0.4, 0.15
)

// loadSpec is a replayed load.
type loadSpec struct {
	seed uint64
	// times is the load against the daily one; burst replaces it from 2 s to
	// 6 s when it is not 0.
	times, burst float64
	seconds      int
	// slow is how much longer tasks take at the first runner.
	slow float64
	// runners and dispatchers are their numbers; the load grows with the
	// runners. 0 is that of the users' first deployments.
	runners, dispatchers int
	// gap is the least time between two reports of room without ends.
	gap time.Duration
	// parts: each dispatcher works with a part of the runners, as in a large
	// fleet.
	parts bool
	// heavy is how many times the load of another the first dispatcher gets; 0
	// is the same.
	heavy int
}

const (
	dailyRunners     = 11
	dailyDispatchers = 3
	// worldZones is the number of zones that parts are chosen over.
	worldZones = 5
)

// outcomeOf is what came of a replayed load.
type outcomeOf struct {
	asked, inTime, late, refused int
	// worth is earned against what was asked for; late answers earn a fifth.
	worth float64
	// refusedAfter is the longest time after which a job was refused, against
	// its objective.
	refusedAfter float64
	// used is the mean share of the minions' room in use from the second second
	// to the last, useful the share that went into answers in time.
	used, useful float64
	// kept are the shares of jobs in time by priority.
	kept [3]float64
	// messages is the number of messages of dispatchers a job.
	messages float64
	// first is the share of the first dispatcher's jobs that end in time.
	first float64
}

// world replays a load in virtual time: three dispatchers, eleven runners with
// tables of their own, messages that take a hop.
type world struct {
	now     time.Time
	events  events
	serial  int
	rand    *rand.Rand
	cores   []*Dispatcher
	runners []*simRunner
	jobs    map[string]*simJob
	asked   float64
	earned  float64
	out     outcomeOf
	slow    float64
	useful  float64
	askedOf [3]int
	gap     time.Duration
	// parts are the runners that each dispatcher works with, by name.
	parts []map[string]bool
	// messages counts those that dispatchers sent and received.
	messages int
	// firstJobs are the jobs of the first dispatcher.
	firstJobs int
}

type simJob struct {
	*Job
	worth float64
	// ideal is the objective by the true run times.
	ideal time.Time
	run   []time.Duration
	core  int
}

type simRunner struct {
	table *runtable.Table
	id    int
	pace  float64
	// began tells when each run started, to show its percent.
	began  map[runtable.Ref]time.Time
	ends   []runtable.EndedRow
	number uint64
	offer  Need
	// watchers are the dispatchers that get reports.
	watchers []*watcher
}

// watcher is what a runner keeps of a dispatcher.
type watcher struct {
	core   int
	placed uint64
	// told is when it was last told of the room; a stale one is to be told.
	told  time.Time
	stale bool
}

type event struct {
	at     time.Time
	serial int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].serial < e[j].serial
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (w *world) after(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, event{w.now.Add(d), w.serial, do})
}

// replay runs a load to its end.
func replay(spec loadSpec) outcomeOf {
	spec.runners = cmp.Or(spec.runners, dailyRunners)
	spec.dispatchers = cmp.Or(spec.dispatchers, dailyDispatchers)
	w := &world{
		now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(spec.seed, 7)), jobs: map[string]*simJob{},
		slow: spec.slow, gap: spec.gap,
	}
	for range spec.dispatchers {
		w.cores = append(w.cores, New("z"))
	}
	for i := range spec.runners {
		w.addRunner(i, spec)
	}
	for _, c := range daily {
		c.perSecond *= float64(spec.runners) / dailyRunners
		w.arrive(spec, c)
	}
	w.every(10*time.Millisecond, func() {
		for i, d := range w.cores {
			d.Tick(w.now)
			w.carryOut(i)
		}
	})
	samples := 0
	w.after(2*time.Second, func() {
		w.every(20*time.Millisecond, func() {
			if samples++; samples <= (spec.seconds-2)*50 {
				w.out.used += w.usedShare()
			}
		})
	})
	end := w.now.Add(time.Duration(spec.seconds+3) * time.Second)
	for len(w.events) > 0 && w.now.Before(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.out.worth = w.earned / w.asked
	for p, n := range w.askedOf {
		w.out.kept[p] /= float64(max(n, 1))
	}
	w.out.used /= float64((spec.seconds - 2) * 50)
	w.out.useful = w.useful / w.capacity() / float64(spec.seconds)
	w.out.first /= float64(max(w.firstJobs, 1))
	w.out.messages = float64(w.messages) / float64(w.out.asked)
	return w.out
}

func (w *world) capacity() float64 {
	sum := 0.0
	for _, r := range w.runners {
		sum += float64(r.table.Capacity().CPU)
	}
	return sum
}

func (w *world) usedShare() float64 {
	free := 0.0
	for _, r := range w.runners {
		free += float64(max(r.table.Free().CPU, 0))
	}
	return 1 - free/w.capacity()
}

func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() {
		do()
		w.every(d, do)
	})
}

// addRunner adds a minion of 32 cores; a third have 48, a third are slower.
func (w *world) addRunner(i int, spec loadSpec) {
	r := &simRunner{table: runtable.New(), id: i, pace: 1, began: map[runtable.Ref]time.Time{}}
	need := Need{CPU: 32_000, Memory: 65_536}
	if i%3 == 1 {
		need.CPU = 48_000
	}
	if i%3 == 2 {
		r.pace = 1.3
	}
	if i == 0 && w.slow > 0 {
		r.pace = w.slow
	}
	r.table.Reboot(w.now)
	r.table.Describe(w.now, need, true)
	r.table.Listed(w.now, runtable.Listing{Asked: w.now})
	r.table.Take()
	w.runners = append(w.runners, r)
	for core := range w.cores {
		if !spec.parts || w.watches(core, i, spec) {
			r.watchers = append(r.watchers, &watcher{core: core, stale: true})
		}
	}
	w.flushRunner(r)
	w.every(50*time.Millisecond, func() { w.list(r) })
	w.every(10*time.Millisecond, func() {
		r.table.Tick(w.now)
		w.flushRunner(r)
	})
}

// watches tells whether a dispatcher works with a runner.
func (w *world) watches(core, runner int, spec loadSpec) bool {
	if w.parts == nil {
		w.parts = make([]map[string]bool, len(w.cores))
	}
	if w.parts[core] == nil {
		peers := make([]subset.Peer, spec.runners)
		for i := range peers {
			peers[i] = subset.Peer{Address: fmt.Sprint(i), Zone: fmt.Sprint(i % worldZones), Service: "s"}
		}
		w.parts[core] = map[string]bool{}
		for _, p := range subset.Choose(fmt.Sprint("d", core), fmt.Sprint(core%worldZones), peers, spec.dispatchers) {
			w.parts[core][p.Address] = true
		}
	}
	return w.parts[core][fmt.Sprint(runner)]
}

func (w *world) lognormal(spread float64) float64 { return math.Exp(spread * w.rand.NormFloat64()) }

// arrive schedules the jobs of a kind.
func (w *world) arrive(spec loadSpec, c class) {
	start := w.now
	at := time.Duration(0)
	for n := 0; ; n++ {
		times := spec.times
		if spec.burst > 0 && at > 2*time.Second && at < 6*time.Second {
			times = spec.burst
		}
		at += time.Duration(w.rand.ExpFloat64() / (c.perSecond * times) * float64(time.Second))
		if at > time.Duration(spec.seconds)*time.Second {
			return
		}
		id := fmt.Sprintf("%d-%06d", c.priority, n)
		arrived := start.Add(at)
		j := w.draw(c, id, arrived)
		core := max(0, w.rand.IntN(len(w.cores)+max(0, spec.heavy-1))-max(0, spec.heavy-1))
		w.after(arrived.Sub(w.now), func() {
			w.jobs[id] = j
			w.out.asked++
			w.askedOf[c.priority]++
			w.asked += j.worth
			if j.core = core; core == 0 {
				w.firstJobs++
			}
			w.cores[core].Submit(w.now, j.Job)
			w.carryOut(core)
		})
	}
}

func (w *world) draw(c class, id string, arrived time.Time) *simJob {
	count := int(min(max(1, math.Round(c.width*w.lognormal(0.4))), 32))
	work := float64(c.work) * w.lognormal(0.4)
	j := &simJob{worth: c.worth}
	var chain time.Duration
	for range count {
		run := time.Duration(work * w.lognormal(taskSpread))
		j.run = append(j.run, run)
		chain = max(chain, run)
	}
	j.ideal = arrived.Add(time.Duration(1.6*float64(chain)) + 60*time.Millisecond)
	j.Job = &Job{
		ID: id, Queue: fmt.Sprint(c.priority), Service: "s", Priority: c.priority, MaxAttempts: 2, Arrived: arrived,
		Limit: arrived.Add(5 * time.Second),
		Steps: []Step{{
			Count: count, Need: Need{CPU: int64(taskCPU * w.lognormal(0.2)), Memory: 64},
			Estimate: time.Duration(work * w.lognormal(estimateSpread)),
		}},
	}
	j.SetObjective(1.6, 60*time.Millisecond)
	return j
}

// carryOut sends what a dispatcher decided.
func (w *world) carryOut(core int) {
	out := w.cores[core].Take()
	w.messages += len(out.Placements) + len(out.Stops)
	for _, p := range out.Placements {
		w.after(hop, func() { w.placed(core, p) })
	}
	for _, s := range out.Stops {
		w.after(hop, func() {
			r := w.runners[s.Runner]
			r.table.StopJob(w.now, runtable.Owner(core+1), s.Job)
			w.flushRunner(r)
		})
	}
	for _, a := range out.Answers {
		w.answered(a)
	}
}

func (w *world) answered(a Answer) {
	j := w.jobs[a.Job.ID]
	switch {
	case a.Result == Completed && !w.now.After(j.ideal):
		w.out.inTime++
		w.out.kept[j.Priority]++
		if j.core == 0 {
			w.out.first++
		}
		for _, long := range j.run {
			w.useful += float64(j.Steps[0].Need.CPU) * long.Seconds() * 1.1
		}
		w.earned += j.worth
	case a.Result == Completed:
		w.out.late++
		if w.now.Sub(j.Arrived) < 3*j.ideal.Sub(j.Arrived) {
			w.earned += j.worth / 5
		}
	case a.Result == Refused:
		w.out.refused++
		w.out.refusedAfter = max(w.out.refusedAfter, float64(w.now.Sub(j.Arrived))/float64(j.Objective.Sub(j.Arrived)))
	}
}

func (w *world) placed(core int, p Placement) {
	r := w.runners[p.Runner]
	at := slices.IndexFunc(r.watchers, func(x *watcher) bool { return x.core == core })
	for _, ref := range p.Runs {
		r.watchers[at].placed++
		r.table.Place(w.now, runtable.Order{
			Name: ref.Name, Run: ref.Run, Owner: runtable.Owner(core + 1), Need: p.Job.Steps[p.Step].Need,
			Key: p.Key.UnixMilli(), Estimate: p.Job.Steps[p.Step].Estimate, Expires: w.now.Add(p.Wait),
		})
	}
	w.flushRunner(r)
}

// flushRunner starts and stops runs, and reports to the dispatchers.
func (w *world) flushRunner(r *simRunner) {
	out := r.table.Take()
	for _, o := range out.Starts {
		ref := runtable.Ref{Name: o.Name, Run: o.Run}
		r.began[ref] = w.now
		r.table.StartAnswered(w.now, ref, runtable.Started)
		long := time.Duration(float64(w.jobs[o.Job].run[o.Index]) * r.pace)
		w.after(long, func() { w.finish(r, ref, runtable.Done) })
	}
	for _, ref := range out.Stops {
		r.table.StopAnswered(w.now, ref)
		w.after(5*time.Millisecond, func() { w.finish(r, ref, runtable.Stopped) })
	}
	offer := r.table.Free()
	changed := offer != r.offer
	r.offer = offer
	for _, to := range r.watchers {
		w.reportTo(to, r, out.Ends, changed)
	}
}

// reportTo sends a dispatcher its ends at once, and room alone after a gap.
func (w *world) reportTo(to *watcher, r *simRunner, all []runtable.End, changed bool) {
	core := to.core
	ends := slices.DeleteFunc(slices.Clone(all), func(e runtable.End) bool { return e.Owner != runtable.Owner(core+1) })
	to.stale = to.stale || changed
	if len(ends) == 0 && (!to.stale || w.now.Sub(to.told) < w.gap) {
		return
	}
	to.stale, to.told = false, w.now
	w.messages++
	room := Room{
		Name: fmt.Sprint(r.id), Service: "s", Zone: "z", Endpoint: fmt.Sprint(r.id), Capacity: r.table.Capacity(),
		Free: r.table.Free(), Ready: true, Placed: to.placed, Pace: r.table.Pace(), Suspicion: r.table.Suspicion(),
	}
	w.after(hop, func() {
		for _, e := range ends {
			w.cores[core].Ended(w.now, RunnerID(r.id), TaskEnd{
				Ref: runtable.Ref{Name: e.Name, Run: e.Run}, Outcome: e.Outcome, Reason: e.Reason, Ran: e.Ran,
			})
		}
		w.cores[core].Report(w.now, RunnerID(r.id), room)
		w.carryOut(core)
	})
}

// finish ends a run at the minion unless it has ended.
func (w *world) finish(r *simRunner, ref runtable.Ref, how runtable.Outcome) {
	if _, runs := r.began[ref]; !runs {
		return
	}
	delete(r.began, ref)
	r.number++
	r.ends = append(r.ends, runtable.EndedRow{Ref: ref, Number: r.number, Outcome: how})
	w.list(r)
}

func (w *world) list(r *simRunner) {
	listing := runtable.Listing{Asked: w.now, Ended: r.ends}
	r.ends = nil
	for ref, began := range r.began {
		long := float64(w.jobs[ref.Job].run[ref.Index]) * r.pace
		percent := int(100 * float64(w.now.Sub(began)) / long)
		listing.Running = append(listing.Running, runtable.RunningRow{Ref: ref, Percent: percent})
	}
	r.table.Listed(w.now, listing)
	w.flushRunner(r)
}
