package entry

import (
	"github.com/uber-go/tally/v4"

	wirepb "endivewing/api/endivewing/v1"
)

// metrics are the counters of an entry.
type metrics struct {
	scope                  tally.Scope
	jobs, tasks            tally.Counter
	complete, failed       tally.Counter
	done, taskFailed       tally.Counter
	taskNotRun, taskLost   tally.Counter
	takeovers, openJobs    tally.Gauge
	staleUpdates, sessions tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		scope:        s,
		jobs:         s.Counter("jobs_accepted"),
		tasks:        s.Counter("tasks_accepted"),
		complete:     s.Counter("jobs_complete"),
		failed:       s.Counter("jobs_failed"),
		done:         s.Counter("tasks_done"),
		taskFailed:   s.Counter("tasks_failed"),
		taskNotRun:   s.Counter("tasks_not_run"),
		taskLost:     s.Counter("tasks_lost"),
		takeovers:    s.Gauge("groups_taken_over"),
		openJobs:     s.Gauge("jobs_open"),
		staleUpdates: s.Gauge("updates_stale"),
		sessions:     s.Gauge("agents_connected"),
	}
}

func (m *metrics) accepted(tasks int) {
	m.jobs.Inc(1)
	m.tasks.Inc(int64(tasks))
}

func (m *metrics) refused(reason string) { m.tagged("reason", reason, "jobs_refused") }

// wasted counts a message that moved nothing forward.
func (m *metrics) wasted(reason string) { m.tagged("reason", reason, "messages_wasted") }

func (m *metrics) tagged(tag, value, counter string) {
	m.scope.Tagged(map[string]string{tag: value}).Counter(counter).Inc(1)
}

func (m *metrics) answered(a *wirepb.JobAnswer) {
	if a.Complete {
		m.complete.Inc(1)
		return
	}
	m.failed.Inc(1)
	m.tagged("reason", a.Reason, "jobs_failed_by_reason")
}

func (m *metrics) ended(o wirepb.TaskOutcome) {
	switch o {
	case wirepb.TaskOutcome_TASK_OUTCOME_DONE:
		m.done.Inc(1)
	case wirepb.TaskOutcome_TASK_OUTCOME_FAILED:
		m.taskFailed.Inc(1)
	case wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN:
		m.taskNotRun.Inc(1)
	default:
		m.taskLost.Inc(1)
	}
}
