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
	// RefusedTeamQuota: the team's waiting tasks are at its quota.
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

const queueRetry = time.Second

// Admit tells whether a job may be accepted. It is called before the job is
// made durable; a refused job must not be accepted.
func (d *Dispatcher) Admit(info JobInfo, _ time.Time) (Refusal, bool) {
	if s := d.services[info.Service]; s == nil || len(s.pools) == 0 {
		return Refusal{Code: RefusedNoEndpoint, Detail: fmt.Sprintf("no endpoint offers service %q", info.Service)}, false
	}
	if d.waiting+info.Tasks > d.cfg.MaxWaitingTasks || d.waitingBytes+info.Bytes > d.cfg.MaxWaitingBytes {
		return Refusal{Code: RefusedQueueFull, Detail: "too many tasks wait at this entry", RetryAfter: queueRetry}, false
	}
	t := d.team(info.Team)
	if limit := t.quota.MaxWaiting; limit > 0 && t.waiting+info.Tasks > limit {
		return Refusal{Code: RefusedTeamQuota, Detail: "too many tasks of the team wait", RetryAfter: queueRetry}, false
	}
	return Refusal{}, true
}
