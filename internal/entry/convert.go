package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	apijob "endivewing/api/job"
)

func specOf(s *apijob.Submission) *wirepb.JobSpec {
	spec := &wirepb.JobSpec{
		Team: s.Team, Submission: s.SubmissionID, Service: s.Service,
		Unrepeatable: s.Unrepeatable, TimeoutMs: s.TimeoutMs,
		Tasks: make([]*wirepb.Task, len(s.Tasks)),
	}
	for i := range s.Tasks {
		spec.Tasks[i] = &wirepb.Task{Payload: s.Tasks[i].Bytes(), DeclaredMs: s.Tasks[i].DeclaredMs}
	}
	return spec
}

// digestOf returns the SHA-256 hash of a submission's canonical form. That form has
// every field in a fixed order, and each text follows its length. It does not
// change with the version of a codec.
func digestOf(spec *wirepb.JobSpec) []byte {
	d := digester{hash: sha256.New()}
	d.text(spec.Team)
	d.text(spec.Submission)
	d.text(spec.Service)
	d.flag(spec.Unrepeatable)
	d.number(spec.TimeoutMs)
	d.number(uint64(len(spec.Tasks)))
	for _, t := range spec.Tasks {
		d.bytes(t.Payload)
		d.number(uint64(t.DeclaredMs))
	}
	return d.hash.Sum(nil)
}

type digester struct {
	hash hash.Hash
	buf  [binary.MaxVarintLen64]byte
}

func (d *digester) number(n uint64) {
	size := binary.PutUvarint(d.buf[:], n)
	d.hash.Write(d.buf[:size])
}

func (d *digester) bytes(b []byte) {
	d.number(uint64(len(b)))
	d.hash.Write(b)
}

func (d *digester) text(s string) { d.bytes([]byte(s)) }

func (d *digester) flag(f bool) {
	n := uint64(0)
	if f {
		n = 1
	}
	d.number(n)
}

func hasEnded(rec *wirepb.JobRecord) bool {
	return rec.State == wirepb.JobState_JOB_STATE_COMPLETE || rec.State == wirepb.JobState_JOB_STATE_FAILED
}

// jobOf converts a job record to a job of the API.
func jobOf(rec *wirepb.JobRecord) *apijob.Job {
	spec := rec.GetSpec()
	j := &apijob.Job{
		ID: apijob.FormatID(rec.Job), SubmissionID: spec.GetSubmission(), Team: spec.GetTeam(), Service: spec.GetService(),
		Unrepeatable: spec.GetUnrepeatable(), State: apijob.Open, Tasks: max(len(spec.GetTasks()), int(spec.GetTaskCount())),
		AcceptedAt: wallTime(rec.AcceptedUnixMs),
	}
	if hasEnded(rec) {
		j.EndedAt = wallTime(rec.EndedUnixMs)
		setAnswer(j, rec.Answer)
	}
	return j
}

// answeredJob converts a job that this entry answered to a job of the API.
func answeredJob(local *localJob) *apijob.Job {
	j := jobOf(local.record)
	at := local.ended.UTC()
	j.EndedAt = &at
	setAnswer(j, local.answer)
	return j
}

func setAnswer(j *apijob.Job, a *wirepb.JobAnswer) {
	if a.GetComplete() {
		j.State = apijob.Complete
		j.Results = make([]apijob.Result, len(a.Results))
		for i, r := range a.Results {
			j.Results[i].Payload = nonNil(r)
		}
		return
	}
	j.State = apijob.Failed
	j.Failure = &apijob.Failure{Reason: a.GetReason(), Detail: a.GetDetail(), NotRun: a.GetNotRun()}
	if a.GetReason() == apijob.ReasonTaskFailed || a.GetReason() == apijob.ReasonAgentLost {
		task := a.GetFailedTask()
		j.Failure.FailedTask = &task
	}
}

// nonNil replaces nil by an empty slice, which JSON writes as "" instead of null.
func nonNil(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}

func wallTime(unixMs int64) *time.Time {
	if unixMs == 0 {
		return nil
	}
	t := time.UnixMilli(unixMs).UTC()
	return &t
}
