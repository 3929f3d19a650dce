package load

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteJSON writes the report as indented JSON.
func (rep Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(rep)
}

// WriteTable writes the report as a human-readable table.
func (rep Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	p("seed %d, %d slots, arrivals for %.0f s, last answer after %.1f s", rep.Options.Seed, rep.Options.Slots, rep.ArrivalSeconds, rep.SpanSeconds)
	p("jobs %d: complete %d, refused %d, failed %d; resubmissions %d", rep.Jobs, rep.Complete, rep.Refused, rep.Failed, rep.Resubmissions)
	for reason, n := range rep.Failures {
		p("  failed, %s:\t%d", reason, n)
	}
	if rep.RefusedMaybeRun > 0 {
		p("  refused without \"not run\":\t%d", rep.RefusedMaybeRun)
	}
	p("tasks %d, done %d: %.0f a second; goodput %.1f%% of the slots", rep.Tasks, rep.TasksDone, rep.TasksPerSecond, 100*rep.Goodput)
	p("")
	p("ms\tp50\tp90\tp99\tworst\tjobs")
	for _, row := range []struct {
		name string
		q    Quantiles
	}{{"response", rep.Response}, {"lag", rep.Lag}, {"lag of the central queue", rep.CentralLag}} {
		p("%s\t%.0f\t%.0f\t%.0f\t%.0f\t%d", row.name, row.q.P50Ms, row.q.P90Ms, row.q.P99Ms, row.q.WorstMs, row.q.Count)
	}
	rep.writeTeams(p)
	rep.writeUsage(p)
	return t.Flush()
}

func (rep Report) writeTeams(p func(string, ...any)) {
	if len(rep.Teams) < 2 {
		return
	}
	p("")
	p("team\tjobs\tcomplete\trefused\tfailed\ttasks done\tlag p50 ms\tlag p99 ms")
	for _, t := range rep.Teams {
		p("%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f", t.Name, t.Jobs, t.Complete, t.Refused, t.Failed, t.Tasks, t.Lag.P50Ms, t.Lag.P99Ms)
	}
}

func (rep Report) writeUsage(p func(string, ...any)) {
	if len(rep.Messages) > 0 {
		p("")
		p("messages\tcount\tper task\twasted\t")
	}
	for _, m := range rep.Messages {
		p("%s\t%.0f\t%.4f\t%.4f\t%s", m.Kind, m.Count, m.PerTask, m.WastedPerTask, m.Class)
	}
	if len(rep.Messages) > 0 {
		p("wasted per task %.4f, without those sent by time %.4f", rep.WastedPerTask, rep.WastedByLoad)
	}
	if len(rep.Roles) > 0 {
		p("")
		p("role\tcpu s\tµs per task")
	}
	for _, r := range rep.Roles {
		p("%s\t%.2f\t%.1f", r.Role, r.CPUSeconds, r.MicrosPerTask)
	}
}
