package load

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"endivewing/internal/yardstick"
)

const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Quantiles of times, in milliseconds.
type Quantiles struct {
	Count   int64   `json:"count"`
	P50Ms   float64 `json:"p50Ms"`
	P90Ms   float64 `json:"p90Ms"`
	P99Ms   float64 `json:"p99Ms"`
	WorstMs float64 `json:"worstMs"`
}

// TeamReport is what became of one team's jobs.
type TeamReport struct {
	Name     string    `json:"name"`
	Jobs     int       `json:"jobs"`
	Complete int       `json:"complete"`
	Refused  int       `json:"refused"`
	Failed   int       `json:"failed"`
	Tasks    int       `json:"tasks"` // of complete jobs
	Lag      Quantiles `json:"lag"`
}

// RoleReport is the processor time of one role.
type RoleReport struct {
	Role       string  `json:"role"`
	CPUSeconds float64 `json:"cpuSeconds"`
	// MicrosPerTask is per task of a job that was not refused.
	MicrosPerTask float64 `json:"microsPerTask"`
}

// Report is the outcome of a run.
type Report struct {
	Options Options `json:"options"`
	Jobs    int     `json:"jobs"`
	// Tasks are all that arrived; TasksDone those of complete jobs.
	Tasks     int `json:"tasks"`
	TasksDone int `json:"tasksDone"`
	Complete  int `json:"complete"`
	Refused   int `json:"refused"`
	// RefusedMaybeRun are refusals that did not say "not run".
	RefusedMaybeRun int `json:"refusedMaybeRun"`
	Failed          int `json:"failed"`
	// Failures by reason, refusals left out.
	Failures     map[string]int `json:"failures"`
	Resubmitted  int            `json:"resubmitted"`
	ArrivalsSecs float64        `json:"arrivalsSeconds"`
	// SpanSecs is from the start to the last answer.
	SpanSecs       float64 `json:"spanSeconds"`
	TasksPerSecond float64 `json:"tasksPerSecond"`
	// Goodput is the work of complete jobs as a part of what the slots could
	// do in the span.
	Goodput float64 `json:"goodput"`
	// Response is from the planned arrival to the whole answer; Lag is that
	// minus the job's lower bound; CentralLag is the lag of an omniscient
	// central queue with the same complete jobs.
	Response   Quantiles `json:"response"`
	Lag        Quantiles `json:"lag"`
	CentralLag Quantiles `json:"centralLag"`

	Teams    []TeamReport   `json:"teams"`
	Roles    []RoleReport   `json:"roles"`
	Messages []MessageCount `json:"messages"`
	// WastedPerTask counts messages that moved no task or answer forward;
	// WastedByWork leaves out those that are sent by time.
	WastedPerTask float64 `json:"wastedPerTask"`
	WastedByWork  float64 `json:"wastedByWork"`

	tasksAccepted int // of jobs that were not refused
}

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

func report(o Options, jobs []submission, results []result, before, after usage) Report {
	rep := Report{Options: o, Jobs: len(jobs), Failures: map[string]int{}, ArrivalsSecs: o.Duration.Seconds()}
	var work time.Duration
	for i, r := range results {
		rep.count(jobs[i], r)
		rep.SpanSecs = max(rep.SpanSecs, r.at.Seconds())
		if r.complete {
			work += sum(jobs[i].Runs)
		}
	}
	if rep.SpanSecs > 0 {
		rep.TasksPerSecond = float64(rep.TasksDone) / rep.SpanSecs
		rep.Goodput = work.Seconds() / (rep.SpanSecs * float64(o.Slots))
	}
	rep.lags(o, jobs, results)
	rep.teams(o, jobs, results)
	rep.usage(before, after)
	return rep
}

func sum(runs []time.Duration) time.Duration {
	var s time.Duration
	for _, r := range runs {
		s += r
	}
	return s
}

func (rep *Report) count(s submission, r result) {
	rep.Tasks += len(s.Runs)
	rep.Resubmitted += r.resent
	if !r.refused {
		rep.tasksAccepted += len(s.Runs)
	}
	switch {
	case r.complete:
		rep.Complete++
		rep.TasksDone += len(s.Runs)
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

// lags compares complete jobs with the central queue that served just them.
func (rep *Report) lags(o Options, jobs []submission, results []result) {
	response, lag, central := newHistogram(), newHistogram(), newHistogram()
	var served []yardstick.Job
	for i, r := range results {
		if !r.complete {
			continue
		}
		served = append(served, jobs[i].Job)
		if jobs[i].Arrival < o.Warmup {
			continue
		}
		response.add(r.at - jobs[i].Arrival)
		lag.add(lagOf(o, jobs[i], r))
	}
	for i, l := range yardstick.Lags(o.Slots, served, yardstick.CentralQueue(o.Slots, served)) {
		if served[i].Arrival >= o.Warmup {
			central.add(l)
		}
	}
	rep.Response, rep.Lag, rep.CentralLag = response.quantiles(), lag.quantiles(), central.quantiles()
}

func lagOf(o Options, s submission, r result) time.Duration {
	return r.at - s.Arrival - yardstick.LowerBound(o.Slots, s.Runs)
}

func (rep *Report) teams(o Options, jobs []submission, results []result) {
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
				team.Tasks += len(jobs[i].Runs)
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

func (rep *Report) usage(before, after usage) {
	tasks := float64(max(rep.tasksAccepted, 1))
	for kind, n := range after.sent {
		m := countMessage(kind, n-before.sent[kind], tasks)
		if m.Count == 0 {
			continue
		}
		rep.Messages = append(rep.Messages, m)
		rep.WastedPerTask += m.WastedPerTask
		if m.Class != ByTime {
			rep.WastedByWork += m.WastedPerTask
		}
	}
	for role, seconds := range after.cpu {
		spent := seconds - before.cpu[role]
		rep.Roles = append(rep.Roles, RoleReport{Role: role, CPUSeconds: spent, MicrosPerTask: spent * 1e6 / tasks})
	}
	sort.Slice(rep.Messages, func(i, k int) bool { return rep.Messages[i].Kind < rep.Messages[k].Kind })
	sort.Slice(rep.Roles, func(i, k int) bool { return rep.Roles[i].Role < rep.Roles[k].Role })
}
