package control

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/quorum"
)

const (
	// maxWaitMs bounds the wait of a GetJob, in milliseconds.
	maxWaitMs = 60_000
	// pageLimit bounds a page of open jobs.
	pageLimit = 1000
)

// read is a request that is answered once a quorum has confirmed the leader.
type read interface {
	run(l *loop)
	refuse(l *loop)
}

// reads are the requests between asking the quorum and the answer.
type reads struct {
	token uint64
	asked map[uint64]read
	// confirmed wait until the ledger has applied their index.
	confirmed []confirmedRead
}

type confirmedRead struct {
	index uint64
	read  read
}

func (r *reads) init() { r.asked = map[uint64]read{} }

// confirm answers a read once a quorum has confirmed the leader.
func (l *loop) confirm(r read) {
	l.reads.token++
	if err := l.core.ConfirmRead(l.reads.token); err != nil {
		r.refuse(l)
		return
	}
	l.reads.asked[l.reads.token] = r
}

func (l *loop) confirmed(c quorum.Read) {
	r, ok := l.reads.asked[c.Token]
	if !ok {
		return
	}
	delete(l.reads.asked, c.Token)
	l.reads.confirmed = append(l.reads.confirmed, confirmedRead{c.Index, r})
}

// runReads answers the confirmed reads whose index is applied.
func (l *loop) runReads() {
	var rest []confirmedRead
	due := l.reads.confirmed
	l.reads.confirmed = nil
	for _, c := range due {
		if c.index > l.applied {
			rest = append(rest, c)
			continue
		}
		c.read.run(l)
	}
	l.reads.confirmed = append(l.reads.confirmed, rest...)
}

func (r *reads) failed(l *loop, tokens []uint64) {
	for _, token := range tokens {
		if read, ok := r.asked[token]; ok {
			delete(r.asked, token)
			read.refuse(l)
		}
	}
}

func (r *reads) drop(l *loop, _ string) {
	asked, confirmed := r.asked, r.confirmed
	r.asked, r.confirmed = map[uint64]read{}, nil
	for _, read := range asked {
		read.refuse(l)
	}
	for _, c := range confirmed {
		c.read.refuse(l)
	}
}

// handle answers a request that reads.
func (q query) handle(l *loop) {
	switch body := q.request.Body.(type) {
	case *wirepb.Envelope_SyncRequest:
		l.onSync(q.from, body.SyncRequest)
	case *wirepb.Envelope_GetJobRequest:
		l.confirm(&jobRead{from: q.from, request: body.GetJobRequest})
	case *wirepb.Envelope_ListOpenJobsRequest:
		l.confirm(&openJobsRead{from: q.from, request: body.ListOpenJobsRequest})
	case *wirepb.Envelope_GetDocumentRequest:
		l.confirm(&documentRead{from: q.from})
	case *wirepb.Envelope_MembershipRequest:
		l.onMembership(q.from, body.MembershipRequest)
	default:
		q.from.fault(wirepb.FaultCode_FAULT_CODE_INVALID, reasonUnknown, "")
	}
}

// openJobsRead is a ListOpenJobs request.
type openJobsRead struct {
	from    caller
	request *wirepb.ListOpenJobsRequest
}

func (r *openJobsRead) refuse(l *loop) { l.notLeader(r.from) }

func (r *openJobsRead) run(l *loop) {
	limit := min(int(r.request.Limit), pageLimit)
	if limit == 0 {
		limit = pageLimit
	}
	jobs, more := l.state.OpenJobs(r.request.Group, r.request.AfterJob, limit)
	response := &wirepb.ListOpenJobsResponse{Jobs: jobs, More: more}
	r.from.reply(&wirepb.Envelope{Body: &wirepb.Envelope_ListOpenJobsResponse{ListOpenJobsResponse: response}})
}

// documentRead is a GetDocument request.
type documentRead struct{ from caller }

func (r *documentRead) refuse(l *loop) { l.notLeader(r.from) }

func (r *documentRead) run(l *loop) {
	response := &wirepb.GetDocumentResponse{Document: l.state.Document()}
	r.from.reply(&wirepb.Envelope{Body: &wirepb.Envelope_GetDocumentResponse{GetDocumentResponse: response}})
}

// jobRead is a GetJob request.
type jobRead struct {
	from    caller
	request *wirepb.GetJobRequest
	// waited: the time to wait is over.
	waited bool
}

func (r *jobRead) refuse(l *loop) { l.notLeader(r.from) }

func (r *jobRead) run(l *loop) {
	job := r.find(l)
	open := job.GetState() == wirepb.JobState_JOB_STATE_OPEN
	if open && r.request.WaitMs > 0 && !r.waited {
		wait := time.Duration(min(r.request.WaitMs, maxWaitMs)) * time.Millisecond
		l.waits.add(job.Job, jobWait{read: r, until: time.Now().Add(wait)})
		return
	}
	r.reply(l, job)
}

func (r *jobRead) find(l *loop) *wirepb.JobRecord {
	if r.request.Job != 0 {
		return l.state.Job(r.request.Job)
	}
	return l.state.JobOf(r.request.Team, r.request.Submission)
}

func (r *jobRead) reply(l *loop, job *wirepb.JobRecord) {
	response := &wirepb.GetJobResponse{Found: job != nil, Job: job, Group: l.state.Group(job.GetGroup())}
	r.from.reply(&wirepb.Envelope{Body: &wirepb.Envelope_GetJobResponse{GetJobResponse: response}})
}

// jobWait is a GetJob that waits for the job's end.
type jobWait struct {
	read  *jobRead
	until time.Time
}

// jobWaits are the waiting requests by job.
type jobWaits struct{ byJob map[uint64][]jobWait }

func (w *jobWaits) init() { w.byJob = map[uint64][]jobWait{} }

func (w *jobWaits) add(job uint64, wait jobWait) { w.byJob[job] = append(w.byJob[job], wait) }

// ended answers those that wait for a job. Its end is committed, so no quorum
// has to confirm it.
func (w *jobWaits) ended(l *loop, job uint64) {
	waiting := w.byJob[job]
	if waiting == nil {
		return
	}
	delete(w.byJob, job)
	record := l.state.Job(job)
	for _, x := range waiting {
		x.read.reply(l, record)
	}
}

// release asks the quorum again for those whose time to wait is over.
func (w *jobWaits) release(l *loop, now time.Time) {
	for job, waiting := range w.byJob {
		rest := waiting[:0]
		for _, x := range waiting {
			if now.Before(x.until) {
				rest = append(rest, x)
				continue
			}
			x.read.waited = true
			l.confirm(x.read)
		}
		w.byJob[job] = rest
		if len(rest) == 0 {
			delete(w.byJob, job)
		}
	}
}

func (w *jobWaits) drop(reason, leader string) {
	for _, waiting := range w.byJob {
		for _, x := range waiting {
			x.read.from.fault(wirepb.FaultCode_FAULT_CODE_NOT_LEADER, reason, leader)
		}
	}
	clear(w.byJob)
}
