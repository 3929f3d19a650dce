package ledger

import (
	"bytes"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/statechart"
)

const (
	// digestPrefixBytes is the number of digest bytes that are kept of an
	// expired job.
	digestPrefixBytes = 16
	// defaultExpireLimit applies to an ExpireJobs record without a limit.
	defaultExpireLimit = 1000
)

// expiredJob is what is kept of a job whose answer was dropped.
type expiredJob struct {
	key     submissionKey
	digest  [digestPrefixBytes]byte
	number  uint64
	endedMs int64
	state   statechart.State // the state it ended in
}

func digestPrefixOf(digest []byte) (p [digestPrefixBytes]byte) {
	copy(p[:], digest)
	return p
}

// expire drops the answers of jobs that ended before EndedBeforeUnixMs. It
// forgets expired jobs that ended before ForgetBeforeUnixMs. Each of the two
// handles at most Limit jobs.
func (t *jobTable) expire(r *wirepb.ExpireJobs) {
	limit := int(r.Limit)
	if limit == 0 {
		limit = defaultExpireLimit
	}
	t.dropAnswers(r.EndedBeforeUnixMs, limit)
	t.forgetExpired(r.ForgetBeforeUnixMs, limit)
	t.compactRows()
}

func (t *jobTable) dropAnswers(before int64, limit int) {
	for ; limit > 0 && len(t.ended) > 0; limit-- {
		i := t.rowIndex(t.ended[0])
		j := t.rows[i].job
		if j.endedMs >= before || !jobChart.Can(j.state, eventExpire) {
			return
		}
		t.ended = t.ended[1:]
		t.rows[i].job = nil
		t.emptyRows++
		key := submissionKeyOf(j.team.Value(), j.submission)
		delete(t.byKey, key)
		t.addExpired(expiredJob{key: key, digest: digestPrefixOf(j.digest), number: j.number, endedMs: j.endedMs, state: j.state})
	}
}

func (t *jobTable) addExpired(e expiredJob) {
	t.expiredAt[e.key] = t.expiredBase + uint64(len(t.expired))
	t.expired = append(t.expired, e)
}

func (t *jobTable) forgetExpired(before int64, limit int) {
	for ; limit > 0 && len(t.expired) > 0 && t.expired[0].endedMs < before; limit-- {
		delete(t.expiredAt, t.expired[0].key)
		t.expired = t.expired[1:]
		t.expiredBase++
	}
}

// compactRows removes the rows without a job when they are the majority.
func (t *jobTable) compactRows() {
	if t.emptyRows <= len(t.rows)/2 {
		return
	}
	rows := make([]jobRow, 0, len(t.rows)-t.emptyRows)
	for _, r := range t.rows {
		if r.job != nil {
			rows = append(rows, r)
		}
	}
	t.rows = rows
	t.emptyRows = 0
}

func (t *jobTable) findExpired(key submissionKey) *expiredJob {
	at, ok := t.expiredAt[key]
	if !ok {
		return nil
	}
	return &t.expired[at-t.expiredBase]
}

// acceptResponse answers a submission whose job has expired.
func (e *expiredJob) acceptResponse(r *wirepb.AcceptRequest) *wirepb.AcceptResponse {
	outcome := wirepb.AcceptOutcome_ACCEPT_OUTCOME_EXPIRED
	if e.digest != digestPrefixOf(r.Digest) {
		outcome = wirepb.AcceptOutcome_ACCEPT_OUTCOME_CONFLICT
	}
	return &wirepb.AcceptResponse{Outcome: outcome, Job: e.record(r.Spec.Team, r.Spec.Submission)}
}

func (e *expiredJob) record(team, submission string) *wirepb.JobRecord {
	return &wirepb.JobRecord{
		Job:           e.number,
		Spec:          &wirepb.JobSpec{Team: team, Submission: submission},
		Digest:        bytes.Clone(e.digest[:]),
		State:         wireState(e.state),
		EndedUnixMs:   e.endedMs,
		AnswerExpired: true,
	}
}
