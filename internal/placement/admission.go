package placement

import (
	"fmt"
	"time"
)

// RefusalCode is the reason for which a job was not admitted.
type RefusalCode string

const (
	// RefusedQueueFull means that the job would exceed the limit of waiting
	// tasks or bytes at this entry.
	RefusedQueueFull RefusalCode = "queue_full"
	// RefusedTeamQuota means that the team has used up its quota of tasks per
	// second, or that the job would exceed the team's quota of waiting tasks.
	RefusedTeamQuota RefusalCode = "team_quota"
	// RefusedNoEndpoint means that no declared endpoint offers the service.
	RefusedNoEndpoint RefusalCode = "no_endpoint"
	// RefusedTooLate means that the job is estimated to miss its deadline, or to
	// wait longer than Config.MaxWait.
	RefusedTooLate RefusalCode = "too_late"
)

// Refusal describes why a job was not admitted. None of its tasks runs.
type Refusal struct {
	Code   RefusalCode
	Detail string
	// RetryAfter is the time after which a resubmission may be admitted; 0 means
	// never.
	RetryAfter time.Duration
}

const (
	minRetry = 500 * time.Millisecond
	maxRetry = time.Minute
	// retryOverbooking is the ratio of the rate at which refused jobs are asked to
	// retry to the rate at which they can be served.
	retryOverbooking = 2
	// retryJitterDivisor sets the jitter of retry times: a time is lengthened by
	// a random part of up to 1/retryJitterDivisor.
	retryJitterDivisor = 8
	// addTimeout is the time within which an admitted job is expected to be
	// added.
	addTimeout = 3 * time.Second
)

// Admit reports whether a job may be accepted, with a Refusal if not. It must
// be called before the job is made durable, and a refused job must not be
// accepted. The tasks of an admitted job count as waiting until Add, or for one
// to two times addTimeout when Add is never called.
func (d *Dispatcher) Admit(info JobInfo, now time.Time) (Refusal, bool) {
	d.prune()
	t := d.team(info.Team)
	t.admissions.expire(now)
	checks := [...]func(*JobInfo, *team, time.Time) (Refusal, bool){
		d.checkEndpoint, d.checkBounds, d.checkDelay, d.checkQuota,
	}
	for _, check := range checks {
		if refusal, ok := check(&info, t, now); !ok {
			return refusal, false
		}
	}
	t.tokens -= float64(info.Tasks)
	t.admissions.add(info.Tasks, now)
	return Refusal{}, true
}

func (d *Dispatcher) checkEndpoint(info *JobInfo, _ *team, _ time.Time) (Refusal, bool) {
	if d.service(info.Service).offered {
		return Refusal{}, true
	}
	r := Refusal{Code: RefusedNoEndpoint, Detail: fmt.Sprintf("no endpoint offers service %q", info.Service)}
	if len(d.agentList) == 0 {
		// No agent is known yet. One that announces itself later may offer the
		// service.
		r.RetryAfter = d.retryAfter(0)
	}
	return r, false
}

func (d *Dispatcher) checkBounds(info *JobInfo, t *team, _ time.Time) (Refusal, bool) {
	if d.waiting+t.admissions.tasks()+info.Tasks > d.cfg.MaxWaitingTasks || d.waitingBytes+info.Bytes > d.cfg.MaxWaitingBytes {
		return Refusal{Code: RefusedQueueFull, Detail: "too many tasks or bytes wait at this entry", RetryAfter: d.retryAfter(0)}, false
	}
	return Refusal{}, true
}

// checkDelay refuses a job that would wait longer than Config.MaxWait, or miss
// its deadline. Only the jobs of its own team count as ahead of it, since other
// teams cannot take the team's share.
func (d *Dispatcher) checkDelay(info *JobInfo, t *team, now time.Time) (Refusal, bool) {
	rate := d.teamRate(info, t)
	if rate <= 0 {
		return Refusal{}, true
	}
	ahead := seconds(float64(t.waiting+t.admissions.tasks()) / rate)
	if over := ahead - d.cfg.MaxWait; over > 0 {
		detail := fmt.Sprintf("estimated wait of %s is over the bound", ahead.Round(time.Millisecond))
		return Refusal{Code: RefusedTooLate, Detail: detail, RetryAfter: d.retryInTurn(t, over, float64(info.Tasks)/d.serviceRate(info), now)}, false
	}
	if info.Deadline.IsZero() || ahead == 0 {
		return Refusal{}, true
	}
	own := seconds(float64(info.Tasks)/rate + d.services[info.Service].runTimes.estimate(info.declaredPerTask()))
	if over := ahead + own - info.Deadline.Sub(now); over > 0 {
		detail := fmt.Sprintf("estimated end is %s after the deadline", over.Round(time.Millisecond))
		return Refusal{Code: RefusedTooLate, Detail: detail, RetryAfter: d.retryAfter(over)}, false
	}
	return Refusal{}, true
}

// teamRate returns the number of tasks per second that the team's share yields;
// 0 when unknown.
func (d *Dispatcher) teamRate(info *JobInfo, t *team) float64 {
	weights := d.activeWeight()
	if t.waiting == 0 {
		weights += t.weight()
	}
	return d.serviceRate(info) * t.weight() / weights
}

// serviceRate returns the number of tasks of the service that end per second at
// this entry while others wait. Until that is known, it is estimated from the
// slots and the run times.
func (d *Dispatcher) serviceRate(info *JobInfo) float64 {
	s := d.services[info.Service]
	if s.completions.perSecond > 0 {
		return s.completions.perSecond
	}
	return float64(s.availableSlots) / s.runTimes.estimate(info.declaredPerTask()) / float64(d.entryCount)
}

func (d *Dispatcher) checkQuota(info *JobInfo, t *team, now time.Time) (Refusal, bool) {
	if limit := d.quotaShare(t.quota.MaxWaiting); limit > 0 && t.waiting+t.admissions.tasks()+info.Tasks > limit {
		return Refusal{Code: RefusedTeamQuota, Detail: "too many tasks of the team wait", RetryAfter: d.retryAfter(0)}, false
	}
	if wait := t.refillTokens(d.entryCount, now); wait > 0 {
		return Refusal{Code: RefusedTeamQuota, Detail: "the team is over its rate", RetryAfter: d.retryAfter(wait)}, false
	}
	return Refusal{}, true
}

// retryAfter returns a random time between the needed time and twice that, so
// that resubmissions don't arrive at once.
func (d *Dispatcher) retryAfter(needed time.Duration) time.Duration {
	needed = max(needed, minRetry)
	return needed + time.Duration(d.rand.Int64N(int64(needed)))
}

// retryInTurn returns a retry time after those of the team's earlier refused
// jobs, so that refused jobs are resubmitted not much faster than they can be
// served. serviceTime is the time, in seconds, in which the job can be served.
// The retry times are overbooked by retryOverbooking, because some jobs are never
// resubmitted, and some are refused again and get a second retry time.
func (d *Dispatcher) retryInTurn(t *team, over time.Duration, serviceTime float64, now time.Time) time.Duration {
	first := now.Add(over)
	if t.lastRetry.Before(first) {
		t.lastRetry = first
	}
	t.lastRetry = t.lastRetry.Add(seconds(serviceTime / retryOverbooking))
	if last := now.Add(maxRetry); t.lastRetry.After(last) {
		t.lastRetry = last
	}
	wait := max(t.lastRetry.Sub(now), minRetry)
	return wait + time.Duration(d.rand.Int64N(int64(wait)/retryJitterDivisor))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
