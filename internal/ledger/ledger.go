// Package ledger is the state machine of the control role's replicated log. Its
// state holds jobs, registered processes, groups and the configuration.
//
// It is pure and deterministic: the same records in the same order give the
// same state and the same answers on every member. A Ledger is not safe for
// concurrent use. Freeze returns a copy that another goroutine can encode.
package ledger

import (
	"errors"
	"strconv"

	wirepb "endivewing/api/endivewing/v1"
)

// Kinds of resources.
const (
	KindEndpoint = "endpoint"
	KindTeam     = "team"
	KindSetting  = "setting"
	// KindEntry is the kind of an entry, and KindAgent that of an agent. The
	// kinds differ because changes of agents are not sent to other agents,
	// which need not know of each other.
	KindEntry  = "instance"
	KindAgent  = "agent"
	KindGroup  = "group"
	KindMember = "member"
	// KindDocument is the configuration document as a whole, identified by its
	// version.
	KindDocument = "document"
)

// Reasons of faults.
const (
	reasonOwnerEnded          = "owner_ended"
	reasonSubmissionMissing   = "submission_missing"
	reasonNoTasks             = "no_tasks"
	reasonDigestMissing       = "digest_missing"
	reasonResultCount         = "result_count"
	reasonJobOfOtherGroup     = "job_of_other_group"
	reasonAnswerMissing       = "answer_missing"
	reasonUnknownKind         = "unknown_kind"
	reasonNameMissing         = "name_missing"
	reasonSpecTooLarge        = "spec_too_large"
	reasonRequestIDMissing    = "request_id_missing"
	reasonRequestIDReused     = "request_id_reused"
	reasonTokenMissing        = "token_missing"
	reasonUnknownInstance     = "unknown_instance"
	reasonUnknownCommand      = "unknown_command"
	reasonInstanceKindMissing = "instance_kind_missing"
)

// ErrInvalidNumber is returned if the resource name of an instance or group is not
// a number.
var ErrInvalidNumber = errors.New("ledger: resource name is not a number")

// Fault says why a record changed nothing.
type Fault struct {
	Code   wirepb.FaultCode
	Reason string
}

// Result is the outcome of one record. For a record that is answered, exactly
// one of the responses or Fault is set.
type Result struct {
	Accept   *wirepb.AcceptResponse
	Complete *wirepb.CompleteResponse
	Register *wirepb.RegisterResponse
	Apply    *wirepb.ApplyResponse
	Document *wirepb.PutDocumentResponse
	Fault    *Fault

	// EndedJobs are the numbers of the jobs that ended with the record.
	EndedJobs []uint64
	// ConfigChanged is set if the record changed the configuration.
	ConfigChanged bool
}

// Ledger is the state after a prefix of the log.
type Ledger struct {
	index uint64
	// clock is the largest wall-clock time of any record, in Unix milliseconds.
	// It does not run backwards when the clock of a new leader is behind.
	clock int64

	jobs      jobTable
	config    configTable
	requests  requestCache
	processes processTable
}

// New returns an empty Ledger.
func New() *Ledger {
	l := &Ledger{}
	l.jobs.init()
	l.config.init()
	l.requests.init()
	l.processes.init()
	return l
}

// Index returns the log index of the last record that was applied.
func (l *Ledger) Index() uint64 { return l.index }

// Apply executes the record at a log index. Indexes must ascend but may have
// gaps, because the caller skips records without a command.
func (l *Ledger) Apply(index uint64, cmd *wirepb.Command) Result {
	l.index = index
	l.clock = max(l.clock, cmd.NowUnixMs)
	before := l.config.revision
	r := l.execute(index, cmd)
	r.ConfigChanged = l.config.revision != before
	return r
}

func (l *Ledger) execute(index uint64, cmd *wirepb.Command) Result {
	switch body := cmd.Body.(type) {
	case *wirepb.Command_Accept:
		return l.accept(index, body.Accept)
	case *wirepb.Command_Complete:
		return l.complete(index, body.Complete)
	case *wirepb.Command_Register:
		return l.register(index, body.Register.GetInstance())
	case *wirepb.Command_EndInstances:
		return l.endInstances(index, body.EndInstances)
	case *wirepb.Command_Apply:
		return l.applyRequest(index, body.Apply)
	case *wirepb.Command_ExpireJobs:
		l.jobs.expire(body.ExpireJobs)
		return Result{}
	case *wirepb.Command_SetDraining:
		return l.setDraining(index, body.SetDraining.GetIncarnation())
	case *wirepb.Command_RecordMember:
		return l.recordMember(index, body.RecordMember)
	case *wirepb.Command_PutDocument:
		return l.putDocument(index, body.PutDocument.GetDocument())
	default:
		return invalid(reasonUnknownCommand)
	}
}

func invalid(reason string) Result {
	return Result{Fault: &Fault{Code: wirepb.FaultCode_FAULT_CODE_INVALID, Reason: reason}}
}

func fenced(reason string) Result {
	return Result{Fault: &Fault{Code: wirepb.FaultCode_FAULT_CODE_FENCED, Reason: reason}}
}

// formatNumber returns the resource name of an instance or group.
func formatNumber(n uint64) string { return strconv.FormatUint(n, 10) }

// ParseNumber parses the resource name of an instance or group. It returns
// ErrInvalidNumber if the name is not a number.
func ParseNumber(name string) (uint64, error) {
	n, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return 0, ErrInvalidNumber
	}
	return n, nil
}
