package entry

import (
	"github.com/uber-go/tally/v4"

	wirepb "endivewing/api/endivewing/v1"
)

// metrics has the counters and gauges of an entry.
type metrics struct {
	scope                         tally.Scope
	jobsAccepted, tasksAccepted   tally.Counter
	jobsComplete, jobsFailed      tally.Counter
	tasksDone, tasksFailed        tally.Counter
	tasksNotRun, tasksLost        tally.Counter
	groupsTakenOver, jobsOpen     tally.Gauge
	staleUpdates, agentsConnected tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		scope:           s,
		jobsAccepted:    s.Counter("jobs_accepted"),
		tasksAccepted:   s.Counter("tasks_accepted"),
		jobsComplete:    s.Counter("jobs_complete"),
		jobsFailed:      s.Counter("jobs_failed"),
		tasksDone:       s.Counter("tasks_done"),
		tasksFailed:     s.Counter("tasks_failed"),
		tasksNotRun:     s.Counter("tasks_not_run"),
		tasksLost:       s.Counter("tasks_lost"),
		groupsTakenOver: s.Gauge("groups_taken_over"),
		jobsOpen:        s.Gauge("jobs_open"),
		staleUpdates:    s.Gauge("updates_stale"),
		agentsConnected: s.Gauge("agents_connected"),
	}
}

func (m *metrics) jobAccepted(tasks int) {
	m.jobsAccepted.Inc(1)
	m.tasksAccepted.Inc(int64(tasks))
}

func (m *metrics) jobRefused(reason string) { m.countTagged("reason", reason, "jobs_refused") }

// messageWasted counts a message that was ignored.
func (m *metrics) messageWasted(reason string) { m.countTagged("reason", reason, "messages_wasted") }

func (m *metrics) countTagged(tag, value, counter string) {
	m.scope.Tagged(map[string]string{tag: value}).Counter(counter).Inc(1)
}

func (m *metrics) jobAnswered(a *wirepb.JobAnswer) {
	if a.Complete {
		m.jobsComplete.Inc(1)
		return
	}
	m.jobsFailed.Inc(1)
	m.countTagged("reason", a.Reason, "jobs_failed_by_reason")
}

func (m *metrics) taskEnded(o wirepb.TaskOutcome) {
	switch o {
	case wirepb.TaskOutcome_TASK_OUTCOME_DONE:
		m.tasksDone.Inc(1)
	case wirepb.TaskOutcome_TASK_OUTCOME_FAILED:
		m.tasksFailed.Inc(1)
	case wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN:
		m.tasksNotRun.Inc(1)
	default:
		m.tasksLost.Inc(1)
	}
}
