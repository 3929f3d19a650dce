package load

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"endivewing/internal/baseline"
)

const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Quantiles holds quantiles of times in milliseconds.
type Quantiles struct {
	Count   int64   `json:"count"`
	P50Ms   float64 `json:"p50Ms"`
	P90Ms   float64 `json:"p90Ms"`
	P99Ms   float64 `json:"p99Ms"`
	WorstMs float64 `json:"worstMs"`
}

// TeamReport holds the results of one team's jobs.
type TeamReport struct {
	Name     string    `json:"name"`
	Jobs     int       `json:"jobs"`
	Complete int       `json:"complete"`
	Refused  int       `json:"refused"`
	Failed   int       `json:"failed"`
	Tasks    int       `json:"tasks"` // tasks of complete jobs
	Lag      Quantiles `json:"lag"`
}

// RoleReport is the processor time that the processes of one role spent in a run.
type RoleReport struct {
	Role       string  `json:"role"`
	CPUSeconds float64 `json:"cpuSeconds"`
	// MicrosPerTask is the processor time in microseconds per task of the jobs
	// that were not refused.
	MicrosPerTask float64 `json:"microsPerTask"`
}

// Report holds the results of a run.
type Report struct {
	Options Options `json:"options"`
	Jobs    int     `json:"jobs"`
	// Tasks is the number of tasks of all jobs.
	Tasks int `json:"tasks"`
	// TasksDone is the number of tasks of complete jobs.
	TasksDone int `json:"tasksDone"`
	Complete  int `json:"complete"`
	Refused   int `json:"refused"`
	// RefusedMaybeRun is the number of refused jobs whose refusal did not state
	// that no task ran.
	RefusedMaybeRun int `json:"refusedMaybeRun"`
	Failed          int `json:"failed"`
	// Failures is the number of failed jobs by reason. Refused jobs are not
	// included.
	Failures map[string]int `json:"failures"`
	// Resubmissions is the number of submissions after the first of each job.
	Resubmissions int `json:"resubmitted"`
	// ArrivalSeconds is the time during which jobs arrived, in seconds.
	ArrivalSeconds float64 `json:"arrivalsSeconds"`
	// SpanSeconds is the time from the start to the last answer, in seconds.
	SpanSeconds float64 `json:"spanSeconds"`
	// TasksPerSecond is TasksDone per second of SpanSeconds.
	TasksPerSecond float64 `json:"tasksPerSecond"`
	// Goodput is the sum of the run times of complete jobs, as a part of the
	// capacity of the slots in SpanSeconds.
	Goodput float64 `json:"goodput"`
	// Response is the time from the planned arrival of a job to its complete
	// answer.
	Response Quantiles `json:"response"`
	// Lag is the response time minus the job's lower bound.
	Lag Quantiles `json:"lag"`
	// CentralLag is the lag that an omniscient central queue reaches with the same
	// complete jobs.
	CentralLag Quantiles `json:"centralLag"`

	Teams    []TeamReport   `json:"teams"`
	Roles    []RoleReport   `json:"roles"`
	Messages []MessageCount `json:"messages"`
	// WastedPerTask is the number of messages per task that advanced no task or
	// answer.
	WastedPerTask float64 `json:"wastedPerTask"`
	// WastedByLoad is WastedPerTask without the messages that are sent
	// periodically.
	WastedByLoad float64 `json:"wastedByWork"`

	tasksAccepted int // tasks of jobs that were not refused
}

// histogram records times in microseconds.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (h histogram) add(d time.Duration) {
	_ = h.h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

func (h histogram) quantiles() Quantiles {
	ms := func(q float64) float64 { return float64(h.h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{
		Count:   h.h.TotalCount(),
		P50Ms:   ms(50),
		P90Ms:   ms(90),
		P99Ms:   ms(99),
		WorstMs: float64(h.h.Max()) / 1000,
	}
}

func newReport(o Options, jobs []submission, results []result, before, after usage) Report {
	rep := Report{Options: o, Jobs: len(jobs), Failures: map[string]int{}, ArrivalSeconds: o.Duration.Seconds()}
	var work time.Duration
	for i, r := range results {
		rep.countJob(jobs[i], r)
		rep.SpanSeconds = max(rep.SpanSeconds, r.endedAt.Seconds())
		if r.complete {
			work += sum(jobs[i].RunTimes)
		}
	}
	if rep.SpanSeconds > 0 {
		rep.TasksPerSecond = float64(rep.TasksDone) / rep.SpanSeconds
		rep.Goodput = work.Seconds() / (rep.SpanSeconds * float64(o.Slots))
	}
	rep.addLags(o, jobs, results)
	rep.addTeams(o, jobs, results)
	rep.addUsage(before, after)
	return rep
}

func sum(runs []time.Duration) time.Duration {
	var s time.Duration
	for _, r := range runs {
		s += r
	}
	return s
}

func (rep *Report) countJob(s submission, r result) {
	rep.Tasks += len(s.RunTimes)
	rep.Resubmissions += r.resubmissions
	if !r.refused {
		rep.tasksAccepted += len(s.RunTimes)
	}
	switch {
	case r.complete:
		rep.Complete++
		rep.TasksDone += len(s.RunTimes)
	case r.refused:
		rep.Refused++
		if !r.notRun {
			rep.RefusedMaybeRun++
		}
	default:
		rep.Failed++
		rep.Failures[r.reason]++
	}
}

// addLags computes the quantiles of the response times and lags of the complete
// jobs, and of their lags in a central queue that serves only these jobs.
func (rep *Report) addLags(o Options, jobs []submission, results []result) {
	response, lag, central := newHistogram(), newHistogram(), newHistogram()
	var served []baseline.Job
	for i, r := range results {
		if !r.complete {
			continue
		}
		served = append(served, jobs[i].Job)
		if jobs[i].Arrival < o.Warmup {
			continue
		}
		response.add(r.endedAt - jobs[i].Arrival)
		lag.add(lagOf(o, jobs[i], r))
	}
	for i, l := range baseline.Lags(o.Slots, served, baseline.CentralQueueEnds(o.Slots, served)) {
		if served[i].Arrival >= o.Warmup {
			central.add(l)
		}
	}
	rep.Response, rep.Lag, rep.CentralLag = response.quantiles(), lag.quantiles(), central.quantiles()
}

func lagOf(o Options, s submission, r result) time.Duration {
	return r.endedAt - s.Arrival - baseline.LowerBound(o.Slots, s.RunTimes)
}

func (rep *Report) addTeams(o Options, jobs []submission, results []result) {
	for _, t := range o.Teams {
		team := TeamReport{Name: t.Name}
		lag := newHistogram()
		for i, r := range results {
			if jobs[i].team != t.Name {
				continue
			}
			team.Jobs++
			switch {
			case r.complete:
				team.Complete++
				team.Tasks += len(jobs[i].RunTimes)
				lag.add(lagOf(o, jobs[i], r))
			case r.refused:
				team.Refused++
			default:
				team.Failed++
			}
		}
		team.Lag = lag.quantiles()
		rep.Teams = append(rep.Teams, team)
	}
}

// addUsage computes the figures for messages and processor time from the usage
// before and after the run.
func (rep *Report) addUsage(before, after usage) {
	tasks := float64(max(rep.tasksAccepted, 1))
	for kind, n := range after.sent {
		m := countMessage(kind, n-before.sent[kind], tasks)
		if m.Count == 0 {
			continue
		}
		rep.Messages = append(rep.Messages, m)
		rep.WastedPerTask += m.WastedPerTask
		if m.Class != WastedPeriodic {
			rep.WastedByLoad += m.WastedPerTask
		}
	}
	for role, seconds := range after.cpu {
		spent := seconds - before.cpu[role]
		rep.Roles = append(rep.Roles, RoleReport{Role: role, CPUSeconds: spent, MicrosPerTask: spent * 1e6 / tasks})
	}
	sort.Slice(rep.Messages, func(i, k int) bool { return rep.Messages[i].Kind < rep.Messages[k].Kind })
	sort.Slice(rep.Roles, func(i, k int) bool { return rep.Roles[i].Role < rep.Roles[k].Role })
}
