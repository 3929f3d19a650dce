package control

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/quorum"
)

const (
	// maxWaitMs bounds the wait of a GetJob request, in milliseconds.
	maxWaitMs = 60_000
	// maxPageJobs bounds the number of jobs in a response to ListOpenJobs.
	maxPageJobs = 1000
)

// read is a linearizable read: a request that is answered once a quorum has
// confirmed the leader and its read index is applied.
type read interface {
	// execute answers the request from the ledger.
	execute(l *loop)
	// fail answers that this member is not the leader.
	fail(l *loop)
}

// reads holds the reads that are not answered yet.
type reads struct {
	// lastToken is the newest token passed to the core.
	lastToken uint64
	// unconfirmed are the reads that wait for a quorum, by token.
	unconfirmed map[uint64]read
	// confirmed are the reads that wait until their read index is applied.
	confirmed []confirmedRead
}

// confirmedRead is a read with its read index.
type confirmedRead struct {
	index uint64
	read  read
}

func (r *reads) init() { r.unconfirmed = map[uint64]read{} }

// confirm requests a read index for a read. The read is executed once a quorum
// has confirmed the leader.
func (l *loop) confirm(r read) {
	l.reads.lastToken++
	if err := l.core.ConfirmRead(l.reads.lastToken); err != nil {
		r.fail(l)
		return
	}
	l.reads.unconfirmed[l.reads.lastToken] = r
}

// confirmed handles the read index of a read that a quorum has confirmed.
func (l *loop) confirmed(c quorum.Read) {
	r, ok := l.reads.unconfirmed[c.Token]
	if !ok {
		return
	}
	delete(l.reads.unconfirmed, c.Token)
	l.reads.confirmed = append(l.reads.confirmed, confirmedRead{c.Index, r})
}

// runReads executes the confirmed reads whose read index is applied.
func (l *loop) runReads() {
	var rest []confirmedRead
	due := l.reads.confirmed
	l.reads.confirmed = nil
	for _, c := range due {
		if c.index > l.applied {
			rest = append(rest, c)
			continue
		}
		c.read.execute(l)
	}
	l.reads.confirmed = append(l.reads.confirmed, rest...)
}

// failTokens fails the reads with the given tokens, which no quorum has
// confirmed.
func (r *reads) failTokens(l *loop, tokens []uint64) {
	for _, token := range tokens {
		if read, ok := r.unconfirmed[token]; ok {
			delete(r.unconfirmed, token)
			read.fail(l)
		}
	}
}

// failAll fails all reads that are not answered yet.
func (r *reads) failAll(l *loop, _ string) {
	unconfirmed, confirmed := r.unconfirmed, r.confirmed
	r.unconfirmed, r.confirmed = map[uint64]read{}, nil
	for _, read := range unconfirmed {
		read.fail(l)
	}
	for _, c := range confirmed {
		c.read.fail(l)
	}
}

// handle dispatches the request by its type.
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
		q.from.replyFault(wirepb.FaultCode_FAULT_CODE_INVALID, reasonUnknown, "")
	}
}

// openJobsRead is a ListOpenJobs request.
type openJobsRead struct {
	from    caller
	request *wirepb.ListOpenJobsRequest
}

func (r *openJobsRead) fail(l *loop) { l.replyNotLeader(r.from) }

func (r *openJobsRead) execute(l *loop) {
	limit := min(int(r.request.Limit), maxPageJobs)
	if limit == 0 {
		limit = maxPageJobs
	}
	jobs, more := l.state.OpenJobs(r.request.Group, r.request.AfterJob, limit)
	response := &wirepb.ListOpenJobsResponse{Jobs: jobs, More: more}
	r.from.reply(&wirepb.Envelope{Body: &wirepb.Envelope_ListOpenJobsResponse{ListOpenJobsResponse: response}})
}

// documentRead is a GetDocument request.
type documentRead struct{ from caller }

func (r *documentRead) fail(l *loop) { l.replyNotLeader(r.from) }

func (r *documentRead) execute(l *loop) {
	response := &wirepb.GetDocumentResponse{Document: l.state.Document()}
	r.from.reply(&wirepb.Envelope{Body: &wirepb.Envelope_GetDocumentResponse{GetDocumentResponse: response}})
}

// jobRead is a GetJob request.
type jobRead struct {
	from    caller
	request *wirepb.GetJobRequest
	// waitEnded is set once the wait time of the request has ended.
	waitEnded bool
}

func (r *jobRead) fail(l *loop) { l.replyNotLeader(r.from) }

func (r *jobRead) execute(l *loop) {
	job := r.find(l)
	open := job.GetState() == wirepb.JobState_JOB_STATE_OPEN
	if open && r.request.WaitMs > 0 && !r.waitEnded {
		wait := time.Duration(min(r.request.WaitMs, maxWaitMs)) * time.Millisecond
		l.waits.add(job.Job, jobWait{read: r, until: time.Now().Add(wait)})
		return
	}
	r.reply(l, job)
}

// find looks up the job by number if the request has one, otherwise by
// submission. It returns nil if there is no such job.
func (r *jobRead) find(l *loop) *wirepb.JobRecord {
	if r.request.Job != 0 {
		return l.state.Job(r.request.Job)
	}
	return l.state.JobBySubmission(r.request.Team, r.request.Submission)
}

func (r *jobRead) reply(l *loop, job *wirepb.JobRecord) {
	response := &wirepb.GetJobResponse{Found: job != nil, Job: job, Group: l.state.Group(job.GetGroup())}
	r.from.reply(&wirepb.Envelope{Body: &wirepb.Envelope_GetJobResponse{GetJobResponse: response}})
}

// jobWait is a GetJob request that waits for the end of its job.
type jobWait struct {
	read  *jobRead
	until time.Time
}

// jobWaits holds the waiting GetJob requests by job.
type jobWaits struct{ byJob map[uint64][]jobWait }

func (w *jobWaits) init() { w.byJob = map[uint64][]jobWait{} }

func (w *jobWaits) add(job uint64, wait jobWait) { w.byJob[job] = append(w.byJob[job], wait) }

// replyEnded answers the requests that wait for a job that has ended. Its end is
// committed, so no quorum has to confirm the leader.
func (w *jobWaits) replyEnded(l *loop, job uint64) {
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

// releaseExpired confirms the leader again for the requests whose wait time has
// ended.
func (w *jobWaits) releaseExpired(l *loop, now time.Time) {
	for job, waiting := range w.byJob {
		rest := waiting[:0]
		for _, x := range waiting {
			if now.Before(x.until) {
				rest = append(rest, x)
				continue
			}
			x.read.waitEnded = true
			l.confirm(x.read)
		}
		w.byJob[job] = rest
		if len(rest) == 0 {
			delete(w.byJob, job)
		}
	}
}

func (w *jobWaits) failAll(reason, leader string) {
	for _, waiting := range w.byJob {
		for _, x := range waiting {
			x.read.from.replyFault(wirepb.FaultCode_FAULT_CODE_NOT_LEADER, reason, leader)
		}
	}
	clear(w.byJob)
}
