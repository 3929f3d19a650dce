package ledger

import (
	"bytes"
	"cmp"
	"slices"
	"unique"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/statechart"
)

// accept stores the job of a submission, or answers with the job that the
// submission already has.
func (l *Ledger) accept(index uint64, r *wirepb.AcceptRequest) Result {
	if reason := checkAccept(r); reason != "" {
		return invalid(reason)
	}
	spec := r.Spec
	key := submissionKeyOf(spec.Team, spec.Submission)
	if number, known := l.jobs.byKey[key]; known {
		return Result{Accept: existingJobResponse(l.jobs.get(number), r)}
	}
	if expired := l.jobs.findExpired(key); expired != nil {
		return Result{Accept: expired.acceptResponse(r)}
	}
	if !l.processes.isLiveEntry(r.Owner) {
		return fenced(reasonOwnerEnded)
	}
	j := l.newJob(index, r)
	l.jobs.insert(j)
	return Result{Accept: &wirepb.AcceptResponse{Outcome: wirepb.AcceptOutcome_ACCEPT_OUTCOME_NEW, Job: j.record()}}
}

// checkAccept returns the reason why a request can never succeed, or "".
func checkAccept(r *wirepb.AcceptRequest) string {
	switch {
	case r.GetSpec().GetSubmission() == "":
		return reasonSubmissionMissing
	case len(r.Spec.Tasks) == 0:
		return reasonNoTasks
	case len(r.Digest) == 0:
		return reasonDigestMissing
	}
	return ""
}

// existingJobResponse answers a submission that already has a job.
func existingJobResponse(j *job, r *wirepb.AcceptRequest) *wirepb.AcceptResponse {
	outcome := wirepb.AcceptOutcome_ACCEPT_OUTCOME_EXISTING
	switch {
	case !bytes.Equal(j.digest, r.Digest):
		outcome = wirepb.AcceptOutcome_ACCEPT_OUTCOME_CONFLICT
	case j.state == stateOpen && j.group == r.Owner && j.token == r.Token:
		outcome = wirepb.AcceptOutcome_ACCEPT_OUTCOME_NEW
	}
	return &wirepb.AcceptResponse{Outcome: outcome, Job: j.record()}
}

func (l *Ledger) newJob(index uint64, r *wirepb.AcceptRequest) *job {
	j := jobFromSpec(r.Spec)
	j.number, j.group, j.token, j.digest = index, r.Owner, r.Token, r.Digest
	j.taskCount = uint32(len(r.Spec.Tasks))
	j.state = jobChart.Initial()
	j.acceptedMs = l.clock
	return j
}

// jobFromSpec returns a job with the fields of its submission set.
func jobFromSpec(s *wirepb.JobSpec) *job {
	return &job{
		team:         unique.Make(s.Team),
		submission:   s.Submission,
		service:      unique.Make(s.Service),
		timeoutMs:    s.TimeoutMs,
		unrepeatable: s.Unrepeatable,
		tasks:        s.Tasks,
	}
}

// complete records the ends of jobs of one group.
func (l *Ledger) complete(index uint64, r *wirepb.CompleteRequest) Result {
	ends := slices.Clone(r.Completions)
	slices.SortStableFunc(ends, func(a, b *wirepb.JobCompletion) int { return cmp.Compare(a.Job, b.Job) })
	if reason := l.checkCompletions(r.Group, ends); reason != "" {
		return invalid(reason)
	}
	if l.alreadyRecorded(r) {
		return Result{Complete: &wirepb.CompleteResponse{}}
	}
	g := l.processes.groups[r.Group]
	if g == nil || g.Epoch != r.Epoch || g.Owner != r.Owner {
		return Result{Complete: &wirepb.CompleteResponse{Fenced: true}}
	}
	result := Result{Complete: &wirepb.CompleteResponse{}}
	for _, end := range ends {
		if l.jobs.endJob(end, index, r.Epoch, l.clock) {
			result.EndedJobs = append(result.EndedJobs, end.Job)
		}
	}
	if len(result.EndedJobs) > 0 {
		l.prune(index)
	}
	return result
}

// checkCompletions returns the reason why a batch can never be recorded, or "".
func (l *Ledger) checkCompletions(group uint64, ends []*wirepb.JobCompletion) string {
	for _, end := range ends {
		j := l.jobs.get(end.Job)
		switch {
		case end.Answer == nil:
			return reasonAnswerMissing
		case j == nil:
		case j.group != group:
			return reasonJobOfOtherGroup
		case j.state == stateOpen && end.Answer.Complete && len(end.Answer.Results) != len(j.tasks):
			return reasonResultCount
		}
	}
	return ""
}

// alreadyRecorded reports whether a batch was recorded before: all its jobs
// have ended under the epoch of the batch.
func (l *Ledger) alreadyRecorded(r *wirepb.CompleteRequest) bool {
	for _, end := range r.Completions {
		j := l.jobs.get(end.Job)
		if j == nil || j.state == stateOpen || j.endEpoch != r.Epoch {
			return false
		}
	}
	return true
}

// endJob records the end of one job. It returns false if the job is not open.
func (t *jobTable) endJob(end *wirepb.JobCompletion, index, epoch uint64, clock int64) bool {
	i := t.rowIndex(end.Job)
	if i < 0 {
		return false
	}
	event := eventFail
	if end.Answer.Complete {
		event = eventComplete
	}
	state, err := jobChart.Next(t.rows[i].job.state, event)
	if err != nil {
		return false
	}
	j := *t.rows[i].job
	j.state = state
	j.tasks = nil
	j.answer = encodeAnswer(end.Answer)
	j.endedMs = clock
	j.endIndex = index
	j.endEpoch = epoch
	t.rows[i].job = &j
	t.ended = append(t.ended, j.number)
	t.removeOpen(j.group)
	return true
}

// encodeAnswer encodes an answer. Results of a failed job are left out.
func encodeAnswer(a *wirepb.JobAnswer) []byte {
	if !a.Complete && len(a.Results) > 0 {
		a = proto.CloneOf(a)
		a.Results = nil
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(a)
	if err != nil {
		panic(err) // decoded from the log, so it encodes
	}
	return encoded
}

// spec returns the submission without its payloads.
func (j *job) spec() *wirepb.JobSpec {
	return &wirepb.JobSpec{
		Team:         j.team.Value(),
		Submission:   j.submission,
		Service:      j.service.Value(),
		Unrepeatable: j.unrepeatable,
		TimeoutMs:    j.timeoutMs,
		TaskCount:    j.taskCount,
	}
}

// record returns the job without its payloads, as it is sent in responses.
func (j *job) record() *wirepb.JobRecord {
	r := &wirepb.JobRecord{
		Job:            j.number,
		Spec:           j.spec(),
		Digest:         j.digest,
		Group:          j.group,
		State:          wireState(j.state),
		Token:          j.token,
		AcceptedUnixMs: j.acceptedMs,
		EndedUnixMs:    j.endedMs,
		EndIndex:       j.endIndex,
		EndEpoch:       j.endEpoch,
	}
	if j.answer != nil {
		r.Answer = new(wirepb.JobAnswer)
		if err := proto.Unmarshal(j.answer, r.Answer); err != nil {
			panic(err) // encoded by encodeAnswer
		}
	}
	return r
}

func wireState(s statechart.State) wirepb.JobState {
	switch s {
	case stateOpen:
		return wirepb.JobState_JOB_STATE_OPEN
	case stateComplete:
		return wirepb.JobState_JOB_STATE_COMPLETE
	default:
		return wirepb.JobState_JOB_STATE_FAILED
	}
}
