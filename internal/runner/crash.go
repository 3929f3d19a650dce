package runner

import (
	"errors"
	"slices"
	"syscall"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/runtable"
)

const (
	// crashRetention is how long dispatchers that connect are told of a crash. It outlasts
	// the time that callers go on sending a job.
	crashRetention = time.Minute
	// maxRememberedCrashes bounds these crashes. A minion that is back after some seconds
	// crashes less often within crashRetention.
	maxRememberedCrashes = 32
)

// crashEvidence is what the runner has seen of the end of the present incarnation. Its
// zero value is that of one that has just answered.
type crashEvidence struct {
	// refused reports whether nobody listened at the last poll.
	refused bool
	// lapsed are the runs that the end of the lease has ended since the last list.
	lapsed []runtable.ReceivedRun
	// reported is set once the crash was reported.
	reported bool
}

// pollEnded notes whether the minion could be reached.
func (c *crashEvidence) pollEnded(err error) { c.refused = nobodyListens(err) }

// listed notes a list of the present incarnation: it has not crashed.
func (c *crashEvidence) listed() { c.lapsed = nil }

// nobodyListens reports whether a call did not reach the minion because no process
// listens at its address.
func nobodyListens(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// rememberedCrash is a crash that dispatchers that connect are told of.
type rememberedCrash struct {
	message *wirepb.MinionCrash
	at      time.Time
}

// endsAsPlanned reports whether an end of the present incarnation is no crash.
func (l *loop) endsAsPlanned() bool {
	return !l.incarnation.known() || l.incarnation.Draining
}

// leaseOver handles the end of the lease of runs at the present incarnation. With nobody
// listening, the incarnation has crashed. A silent one may only have been cut off.
func (l *loop) leaseOver(now time.Time) {
	l.crash.lapsed = append(l.crash.lapsed, l.table.ReceivedRuns()...)
	if l.crash.refused {
		l.recordCrash(now, "nobody_listens")
	}
}

// recordCrash reports to all dispatchers that the present incarnation has crashed under
// the runs whose ends are not known. An end as planned and a crash that was reported
// before are left out.
func (l *loop) recordCrash(now time.Time, evidence string) {
	if l.crash.reported || l.endsAsPlanned() {
		return
	}
	l.crash.reported = true
	l.metrics.crashes.Inc(1)
	runs := l.crash.lapsed
	l.p.opts.Log.Info("minion crashed", "endpoint", l.incarnation.Endpoint, "born", l.incarnation.StartedUnixMs,
		"runs", len(runs), "evidence", evidence)
	if len(runs) == 0 {
		return
	}
	message := &wirepb.MinionCrash{Endpoint: l.incarnation.Endpoint, StartedUnixMs: l.incarnation.StartedUnixMs, Runs: crashedRuns(runs)}
	l.rememberCrash(now, message)
	for _, d := range l.dispatchers {
		d.crashes = append(d.crashes, message)
	}
}

func crashedRuns(runs []runtable.ReceivedRun) []*wirepb.CrashedRun {
	out := make([]*wirepb.CrashedRun, len(runs))
	for i, r := range runs {
		out[i] = &wirepb.CrashedRun{Job: r.Job, Step: r.Step, Index: r.Index, Run: r.Run, Begun: r.Begun}
	}
	return out
}

func (l *loop) rememberCrash(now time.Time, message *wirepb.MinionCrash) {
	l.crashes = append(l.crashes, rememberedCrash{message, now})
	if surplus := len(l.crashes) - maxRememberedCrashes; surplus > 0 {
		l.crashes = slices.Delete(l.crashes, 0, surplus)
	}
}

// rememberedCrashes returns the crashes that a dispatcher that connects is told of: it
// may get the job of another one, and its earlier session may have ended before their
// reports arrived.
func (l *loop) rememberedCrashes(now time.Time) []*wirepb.MinionCrash {
	l.crashes = slices.DeleteFunc(l.crashes, func(c rememberedCrash) bool { return now.Sub(c.at) > crashRetention })
	var messages []*wirepb.MinionCrash
	for _, c := range l.crashes {
		messages = append(messages, c.message)
	}
	return messages
}
