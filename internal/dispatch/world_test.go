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

// jobClass is one kind of job of a recorded load. The kinds of the order desks
// and of the photo proofs have the same shape.
type jobClass struct {
	perSecond float64
	width     float64
	work      time.Duration
	priority  int
	value     float64
}

// dailyLoad holds the kinds of jobs of the users' loads, 140 jobs a second in
// all.
var dailyLoad = []jobClass{
	{perSecond: 34.4, width: 8, work: 60 * time.Millisecond, priority: 0, value: 0.0291},
	{perSecond: 6.25, width: 4, work: 900 * time.Millisecond, priority: 2, value: 0.16},
	{perSecond: 100, width: 2, work: 200 * time.Millisecond, priority: 1, value: 0.01},
}

const (
	taskCPU = 3100
	// hop is the delivery time of a message between hosts.
	hop = 2 * time.Millisecond
	// estimateSpread is the standard deviation of the logarithm of a job's
	// estimate. taskSpread is that of the run times of its tasks.
	estimateSpread, taskSpread = 0.4, 0.15
)

// loadSpec describes a simulated load.
type loadSpec struct {
	seed uint64
	// factor is the load relative to the daily one. burst replaces it from 2 s
	// to 6 s when it is not 0.
	factor, burst float64
	seconds       int
	// slowFactor is how many times longer tasks take at the first runner; 0
	// means no longer.
	slowFactor float64
	// runners and dispatchers are the numbers of processes. The load grows with
	// the number of runners. 0 means that of the users' first deployments.
	runners, dispatchers int
	// minReportInterval is the shortest time between two reports that contain
	// no ends.
	minReportInterval time.Duration
	// subsets makes each dispatcher work with a subset of the runners, as in a
	// large fleet.
	subsets bool
	// firstWeight is the load of the first dispatcher relative to that of
	// another one; 0 means the same.
	firstWeight int
	// crashAt is when every third minion crashes, for crashFor; 0 means never.
	crashAt, crashFor time.Duration
}

const (
	dailyRunners     = 11
	dailyDispatchers = 3
	// simulatedZones is the number of availability zones that subsets are
	// chosen over.
	simulatedZones = 5
)

// loadResult is the result of a simulated load.
type loadResult struct {
	submitted, onTime, late, refused int
	// value is what the answers earned relative to what was submitted. Late
	// answers earn a fifth.
	value float64
	// refusedAfter is the longest time until a refusal, relative to the
	// objective.
	refusedAfter float64
	// used is the mean share of the minions' capacity in use, from 2 s to the
	// end of the load. useful is the share that was spent on answers on time.
	used, useful float64
	// onTimeShare is the share of jobs on time by priority.
	onTimeShare [3]float64
	// messages is the number of messages of dispatchers per job.
	messages float64
	// firstOnTimeShare is the share of the first dispatcher's jobs that end on
	// time.
	firstOnTimeShare float64
	// hit describes the jobs of which a run was at work at a minion that crashed.
	hit hitJobs
}

// simulation runs a load in virtual time, by default with three dispatchers and
// eleven runners. Each runner has a table of its own, and each message takes a
// hop.
type simulation struct {
	now    time.Time
	events events
	serial int
	rand   *rand.Rand
	// cores are the dispatchers.
	cores             []*Dispatcher
	runners           []*simRunner
	jobs              map[string]*simJob
	submittedValue    float64
	earnedValue       float64
	out               loadResult
	slowFactor        float64
	useful            float64
	submittedBy       [3]int
	minReportInterval time.Duration
	// subsets holds, by dispatcher, the names of the runners that it works
	// with.
	subsets []map[string]bool
	// messages counts the messages that dispatchers sent and received.
	messages int
	// firstJobs is the number of jobs of the first dispatcher.
	firstJobs int
}

type simJob struct {
	*Job
	value float64
	// ideal is the objective computed from the true run times.
	ideal time.Time
	// run holds the true run times of the tasks.
	run []time.Duration
	// core is the index of the job's dispatcher.
	core int
}

type simRunner struct {
	table *runtable.Table
	id    int
	pace  float64
	// startedAt is when each run started. Its percentage of completion is
	// derived from it.
	startedAt map[runtable.RunID]time.Time
	ends      []runtable.EndedRow
	lastEnd   uint64
	free      Need
	// watchers are the dispatchers that get reports.
	watchers []*watcher
	// down is set while the minion is down after a crash.
	down bool
}

// watcher is a runner's state for one dispatcher.
type watcher struct {
	core   int
	placed uint64
	// lastReport is when the last report was sent. stale is set while the free
	// capacity has changed since.
	lastReport time.Time
	stale      bool
}

// event is an action at a virtual time. Events at the same time run in the
// order in which they were scheduled.
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

// schedule runs an action after a virtual delay.
func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.serial++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.serial, do})
}

// replay runs a simulated load to its end.
func replay(spec loadSpec) loadResult {
	spec.runners = cmp.Or(spec.runners, dailyRunners)
	spec.dispatchers = cmp.Or(spec.dispatchers, dailyDispatchers)
	sim := &simulation{
		now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(spec.seed, 7)), jobs: map[string]*simJob{},
		slowFactor: spec.slowFactor, minReportInterval: spec.minReportInterval,
	}
	for range spec.dispatchers {
		sim.cores = append(sim.cores, New("z"))
	}
	for i := range spec.runners {
		sim.addRunner(i, spec)
	}
	for _, c := range dailyLoad {
		c.perSecond *= float64(spec.runners) / dailyRunners
		sim.scheduleArrivals(spec, c)
	}
	sim.scheduleCrash(spec)
	sim.every(10*time.Millisecond, func() {
		for i, d := range sim.cores {
			d.Tick(sim.now)
			sim.applyOutput(i)
		}
	})
	samples := 0
	sim.schedule(2*time.Second, func() {
		sim.every(20*time.Millisecond, func() {
			if samples++; samples <= (spec.seconds-2)*50 {
				sim.out.used += sim.usedShare()
			}
		})
	})
	end := sim.now.Add(time.Duration(spec.seconds+3) * time.Second)
	for len(sim.events) > 0 && sim.now.Before(end) {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	sim.out.value = sim.earnedValue / sim.submittedValue
	for p, n := range sim.submittedBy {
		sim.out.onTimeShare[p] /= float64(max(n, 1))
	}
	sim.out.used /= float64((spec.seconds - 2) * 50)
	sim.out.useful = sim.useful / sim.capacity() / float64(spec.seconds)
	sim.out.firstOnTimeShare /= float64(max(sim.firstJobs, 1))
	sim.out.messages = float64(sim.messages) / float64(sim.out.submitted)
	return sim.out
}

// capacity returns the processor capacity of all minions in thousandths of a
// core.
func (sim *simulation) capacity() float64 {
	sum := 0.0
	for _, r := range sim.runners {
		sum += float64(r.table.Capacity().CPU)
	}
	return sum
}

func (sim *simulation) usedShare() float64 {
	free := 0.0
	for _, r := range sim.runners {
		free += float64(max(r.table.Free().CPU, 0))
	}
	return 1 - free/sim.capacity()
}

func (sim *simulation) every(d time.Duration, do func()) {
	sim.schedule(d, func() {
		do()
		sim.every(d, do)
	})
}

// addRunner adds a minion of 32 cores. A third of the minions have 48 cores,
// and a third are slower.
func (sim *simulation) addRunner(i int, spec loadSpec) {
	r := &simRunner{table: runtable.New(), id: i, pace: 1, startedAt: map[runtable.RunID]time.Time{}}
	need := Need{CPU: 32_000, Memory: 65_536}
	if i%3 == 1 {
		need.CPU = 48_000
	}
	if i%3 == 2 {
		r.pace = 1.3
	}
	if i == 0 && sim.slowFactor > 0 {
		r.pace = sim.slowFactor
	}
	r.table.MinionRestarted(sim.now)
	r.table.UpdateMinion(sim.now, need, true)
	r.table.ApplyListing(sim.now, runtable.Listing{SentAt: sim.now})
	r.table.TakeOutput()
	sim.runners = append(sim.runners, r)
	for core := range sim.cores {
		if !spec.subsets || sim.worksWith(core, i, spec) {
			r.watchers = append(r.watchers, &watcher{core: core, stale: true})
		}
	}
	sim.flushRunner(r)
	sim.every(50*time.Millisecond, func() { sim.list(r) })
	sim.every(10*time.Millisecond, func() {
		r.table.Tick(sim.now)
		sim.flushRunner(r)
	})
}

// worksWith reports whether a dispatcher works with a runner.
func (sim *simulation) worksWith(core, runner int, spec loadSpec) bool {
	if sim.subsets == nil {
		sim.subsets = make([]map[string]bool, len(sim.cores))
	}
	if sim.subsets[core] == nil {
		peers := make([]subset.Peer, spec.runners)
		for i := range peers {
			peers[i] = subset.Peer{Address: fmt.Sprint(i), Zone: fmt.Sprint(i % simulatedZones), Service: "s"}
		}
		sim.subsets[core] = map[string]bool{}
		for _, p := range subset.Choose(fmt.Sprint("d", core), fmt.Sprint(core%simulatedZones), peers, spec.dispatchers) {
			sim.subsets[core][p.Address] = true
		}
	}
	return sim.subsets[core][fmt.Sprint(runner)]
}

// lognormal draws a factor whose logarithm has the given standard deviation.
func (sim *simulation) lognormal(spread float64) float64 {
	return math.Exp(spread * sim.rand.NormFloat64())
}

// scheduleArrivals schedules the jobs of a kind.
func (sim *simulation) scheduleArrivals(spec loadSpec, c jobClass) {
	start := sim.now
	at := time.Duration(0)
	for n := 0; ; n++ {
		factor := spec.factor
		if spec.burst > 0 && at > 2*time.Second && at < 6*time.Second {
			factor = spec.burst
		}
		at += time.Duration(sim.rand.ExpFloat64() / (c.perSecond * factor) * float64(time.Second))
		if at > time.Duration(spec.seconds)*time.Second {
			return
		}
		id := fmt.Sprintf("%d-%06d", c.priority, n)
		arrived := start.Add(at)
		j := sim.drawJob(c, id, arrived)
		core := max(0, sim.rand.IntN(len(sim.cores)+max(0, spec.firstWeight-1))-max(0, spec.firstWeight-1))
		sim.schedule(arrived.Sub(sim.now), func() {
			sim.jobs[id] = j
			sim.out.submitted++
			sim.submittedBy[c.priority]++
			sim.submittedValue += j.value
			if j.core = core; core == 0 {
				sim.firstJobs++
			}
			sim.cores[core].Submit(sim.now, j.Job)
			sim.applyOutput(core)
		})
	}
}

func (sim *simulation) drawJob(c jobClass, id string, arrived time.Time) *simJob {
	count := int(min(max(1, math.Round(c.width*sim.lognormal(0.4))), 32))
	work := float64(c.work) * sim.lognormal(0.4)
	j := &simJob{value: c.value}
	var chain time.Duration
	for range count {
		run := time.Duration(work * sim.lognormal(taskSpread))
		j.run = append(j.run, run)
		chain = max(chain, run)
	}
	j.ideal = arrived.Add(time.Duration(1.6*float64(chain)) + 60*time.Millisecond)
	j.Job = &Job{
		ID: id, Queue: fmt.Sprint(c.priority), Service: "s", Priority: c.priority, MaxAttempts: 2, Arrived: arrived,
		Deadline: arrived.Add(5 * time.Second),
		Steps: []Step{{
			Count: count, Need: Need{CPU: int64(taskCPU * sim.lognormal(0.2)), Memory: 64},
			Estimate: time.Duration(work * sim.lognormal(estimateSpread)),
		}},
	}
	j.SetObjective(1.6, 60*time.Millisecond)
	return j
}

// applyOutput sends the output of a dispatcher.
func (sim *simulation) applyOutput(core int) {
	out := sim.cores[core].TakeOutput()
	sim.messages += len(out.Placements) + len(out.Stops)
	for _, p := range out.Placements {
		sim.schedule(hop, func() { sim.placed(core, p) })
	}
	for _, s := range out.Stops {
		sim.schedule(hop, func() {
			r := sim.runners[s.Runner]
			r.table.StopJob(sim.now, runtable.Owner(core+1), s.Job)
			sim.flushRunner(r)
		})
	}
	for _, a := range out.Answers {
		sim.answered(a)
	}
}

func (sim *simulation) answered(a Answer) {
	j := sim.jobs[a.Job.ID]
	sim.recordHit(j, a)
	switch {
	case a.Result == Completed && !sim.now.After(j.ideal):
		sim.out.onTime++
		sim.out.onTimeShare[j.Priority]++
		if j.core == 0 {
			sim.out.firstOnTimeShare++
		}
		for _, long := range j.run {
			sim.useful += float64(j.Steps[0].Need.CPU) * long.Seconds() * 1.1
		}
		sim.earnedValue += j.value
	case a.Result == Completed:
		sim.out.late++
		if sim.now.Sub(j.Arrived) < 3*j.ideal.Sub(j.Arrived) {
			sim.earnedValue += j.value / 5
		}
	case a.Result == Refused:
		sim.out.refused++
		sim.out.refusedAfter = max(sim.out.refusedAfter, float64(sim.now.Sub(j.Arrived))/float64(j.Objective.Sub(j.Arrived)))
	}
}

func (sim *simulation) placed(core int, p Placement) {
	r := sim.runners[p.Runner]
	at := slices.IndexFunc(r.watchers, func(x *watcher) bool { return x.core == core })
	for _, ref := range p.Runs {
		r.watchers[at].placed++
		r.table.Place(sim.now, runtable.Order{
			TaskID: ref.TaskID, Run: ref.Run, Owner: runtable.Owner(core + 1), Need: p.Job.Steps[p.Step].Need,
			Key: p.Key.UnixMilli(), Estimate: p.Job.Steps[p.Step].Estimate, Expires: sim.now.Add(p.Wait),
		})
	}
	sim.flushRunner(r)
}

// flushRunner starts and stops runs, and reports to the dispatchers.
func (sim *simulation) flushRunner(r *simRunner) {
	out := r.table.TakeOutput()
	for _, o := range out.Starts {
		ref := runtable.RunID{TaskID: o.TaskID, Run: o.Run}
		if r.down {
			sim.schedule(time.Millisecond, func() { r.table.StartAnswered(sim.now, ref, refusedStart) })
			continue
		}
		r.startedAt[ref] = sim.now
		r.table.StartAnswered(sim.now, ref, runtable.Started)
		long := time.Duration(float64(sim.jobs[o.Job].run[o.Index]) * r.pace)
		sim.schedule(long, func() { sim.finish(r, ref, runtable.Done) })
	}
	for _, ref := range out.Stops {
		if r.down {
			continue
		}
		r.table.StopAnswered(sim.now, ref)
		sim.schedule(5*time.Millisecond, func() { sim.finish(r, ref, runtable.Stopped) })
	}
	free := r.table.Free()
	changed := free != r.free
	r.free = free
	for _, to := range r.watchers {
		sim.reportTo(to, r, out.Ends, changed)
	}
}

// reportTo sends a dispatcher its ends immediately. Without ends it reports a
// changed capacity at most once in a minimum interval.
func (sim *simulation) reportTo(to *watcher, r *simRunner, all []runtable.End, changed bool) {
	core := to.core
	ends := slices.DeleteFunc(slices.Clone(all), func(e runtable.End) bool { return e.Owner != runtable.Owner(core+1) })
	to.stale = to.stale || changed
	if len(ends) == 0 && (!to.stale || sim.now.Sub(to.lastReport) < sim.minReportInterval) {
		return
	}
	to.stale, to.lastReport = false, sim.now
	sim.messages++
	status := RunnerStatus{
		Name: fmt.Sprint(r.id), Service: "s", Zone: "z", Endpoint: fmt.Sprint(r.id), Capacity: r.table.Capacity(),
		Free: r.table.Free(), Ready: r.table.Ready(), Placed: to.placed, RuntimeRatio: r.table.RuntimeRatio(), FailureRate: r.table.FailureRate(),
	}
	sim.schedule(hop, func() {
		for _, e := range ends {
			sim.cores[core].RunEnded(sim.now, RunnerID(r.id), TaskEnd{
				RunID: runtable.RunID{TaskID: e.TaskID, Run: e.Run}, Outcome: e.Outcome, Reason: e.Reason, Ran: e.Ran,
			})
		}
		sim.cores[core].UpdateRunner(sim.now, RunnerID(r.id), status)
		sim.applyOutput(core)
	})
}

// finish ends a run at the minion unless it has ended already.
func (sim *simulation) finish(r *simRunner, ref runtable.RunID, how runtable.Outcome) {
	if _, runs := r.startedAt[ref]; !runs {
		return
	}
	delete(r.startedAt, ref)
	r.lastEnd++
	r.ends = append(r.ends, runtable.EndedRow{RunID: ref, Number: r.lastEnd, Outcome: how})
	sim.list(r)
}

// list hands the table the minion's list of runs.
func (sim *simulation) list(r *simRunner) {
	if r.down {
		return
	}
	listing := runtable.Listing{SentAt: sim.now, Ended: r.ends}
	r.ends = nil
	for ref, startedAt := range r.startedAt {
		long := float64(sim.jobs[ref.Job].run[ref.Index]) * r.pace
		percent := int(100 * float64(sim.now.Sub(startedAt)) / long)
		listing.Running = append(listing.Running, runtable.RunningRow{RunID: ref, Percent: percent})
	}
	r.table.ApplyListing(sim.now, listing)
	sim.flushRunner(r)
}
