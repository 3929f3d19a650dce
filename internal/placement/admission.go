package placement

import (
	"fmt"
	"time"
)

// RefusalCode says why a job was refused at the door.
type RefusalCode string

const (
	// RefusedQueueFull: the entry's waiting tasks or bytes are at the bound.
	RefusedQueueFull RefusalCode = "queue_full"
	// RefusedTeamQuota: the team's waiting tasks or its rate are at the quota.
	RefusedTeamQuota RefusalCode = "team_quota"
	// RefusedNoEndpoint: no declared endpoint offers the service.
	RefusedNoEndpoint RefusalCode = "no_endpoint"
	// RefusedTooLate: by estimate the job would miss its deadline or wait
	// longer than the bound.
	RefusedTooLate RefusalCode = "too_late"
)

// Refusal is why nothing of a job will run.
type Refusal struct {
	Code   RefusalCode
	Detail string
	// RetryAfter is when a resubmission may be admitted; 0 is never.
	RetryAfter time.Duration
}

const (
	minRetry = 500 * time.Millisecond
	maxRetry = time.Minute
	// retryOverbook is how much faster refused jobs come back than the entry
	// serves tasks.
	retryOverbook = 2
	// retrySpread: advised times are longer at random by up to this part.
	retrySpread = 8
	// pendingTime is how long an admitted job is expected to be added.
	pendingTime = 3 * time.Second
)

// Admit tells whether a job may be accepted. It is called before the job is
// made durable; a refused job must not be accepted. An admitted one counts as
// waiting until Add, or for a few seconds when Add never comes.
func (d *Dispatcher) Admit(info JobInfo, now time.Time) (Refusal, bool) {
	d.prune()
	t := d.team(info.Team)
	t.pending.expire(now)
	checks := [...]func(*JobInfo, *team, time.Time) (Refusal, bool){
		d.checkEndpoint, d.checkBounds, d.checkDelay, d.checkQuota,
	}
	for _, check := range checks {
		if refusal, ok := check(&info, t, now); !ok {
			return refusal, false
		}
	}
	t.tokens -= float64(info.Tasks)
	t.pending.admit(info.Tasks, now)
	return Refusal{}, true
}

func (d *Dispatcher) checkEndpoint(info *JobInfo, _ *team, _ time.Time) (Refusal, bool) {
	if d.service(info.Service).offered {
		return Refusal{}, true
	}
	r := Refusal{Code: RefusedNoEndpoint, Detail: fmt.Sprintf("no endpoint offers service %q", info.Service)}
	if len(d.list) == 0 {
		// Nothing has announced itself yet; later the service may be offered.
		r.RetryAfter = d.retryAfter(0)
	}
	return r, false
}

func (d *Dispatcher) checkBounds(info *JobInfo, t *team, _ time.Time) (Refusal, bool) {
	if d.waiting+t.pending.tasks()+info.Tasks > d.cfg.MaxWaitingTasks || d.waitingBytes+info.Bytes > d.cfg.MaxWaitingBytes {
		return Refusal{Code: RefusedQueueFull, Detail: "too many tasks or bytes wait at this entry", RetryAfter: d.retryAfter(0)}, false
	}
	return Refusal{}, true
}

// checkDelay refuses a job that would wait too long behind its own team's
// jobs, since other teams cannot take the team's share.
func (d *Dispatcher) checkDelay(info *JobInfo, t *team, now time.Time) (Refusal, bool) {
	rate := d.teamRate(info, t)
	if rate <= 0 {
		return Refusal{}, true
	}
	ahead := seconds(float64(t.waiting+t.pending.tasks()) / rate)
	if over := ahead - d.cfg.MaxWait; over > 0 {
		detail := fmt.Sprintf("estimated wait of %s is over the bound", ahead.Round(time.Millisecond))
		return Refusal{Code: RefusedTooLate, Detail: detail, RetryAfter: d.retryInTurn(t, over, float64(info.Tasks)/d.serviceRate(info), now)}, false
	}
	if info.Deadline.IsZero() || ahead == 0 {
		return Refusal{}, true
	}
	own := seconds(float64(info.Tasks)/rate + d.services[info.Service].runs.estimate(info.declaredPerTask()))
	if over := ahead + own - info.Deadline.Sub(now); over > 0 {
		detail := fmt.Sprintf("estimated end is %s after the deadline", over.Round(time.Millisecond))
		return Refusal{Code: RefusedTooLate, Detail: detail, RetryAfter: d.retryAfter(over)}, false
	}
	return Refusal{}, true
}

// teamRate is how many tasks a second the team can count on, 0 when unknown.
func (d *Dispatcher) teamRate(info *JobInfo, t *team) float64 {
	weights := d.activeWeight()
	if t.waiting == 0 {
		weights += t.weight()
	}
	return d.serviceRate(info) * t.weight() / weights
}

// serviceRate is how many tasks of the service end a second while any wait.
func (d *Dispatcher) serviceRate(info *JobInfo) float64 {
	s := d.services[info.Service]
	if s.drain.perSecond > 0 {
		return s.drain.perSecond
	}
	return float64(s.slots) / s.runs.estimate(info.declaredPerTask()) / float64(d.entries)
}

func (d *Dispatcher) checkQuota(info *JobInfo, t *team, now time.Time) (Refusal, bool) {
	if limit := d.share(t.quota.MaxWaiting); limit > 0 && t.waiting+t.pending.tasks()+info.Tasks > limit {
		return Refusal{Code: RefusedTeamQuota, Detail: "too many tasks of the team wait", RetryAfter: d.retryAfter(0)}, false
	}
	if wait := t.untilTokens(d.entries, now); wait > 0 {
		return Refusal{Code: RefusedTeamQuota, Detail: "the team is over its rate", RetryAfter: d.retryAfter(wait)}, false
	}
	return Refusal{}, true
}

// retryAfter spreads resubmissions over twice the time needed.
func (d *Dispatcher) retryAfter(needed time.Duration) time.Duration {
	needed = max(needed, minRetry)
	return needed + time.Duration(d.rand.Int64N(int64(needed)))
}

// retryInTurn gives refused jobs turns one after the other, so that they come
// back not much faster than they can be served. Some never do, and some are
// refused again and get a second turn: hence the overbooking.
func (d *Dispatcher) retryInTurn(t *team, over time.Duration, takes float64, now time.Time) time.Duration {
	first := now.Add(over)
	if t.horizon.Before(first) {
		t.horizon = first
	}
	t.horizon = t.horizon.Add(seconds(takes / retryOverbook))
	if last := now.Add(maxRetry); t.horizon.After(last) {
		t.horizon = last
	}
	wait := max(t.horizon.Sub(now), minRetry)
	return wait + time.Duration(d.rand.Int64N(int64(wait)/retrySpread))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
