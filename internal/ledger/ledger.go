// Package ledger is the state machine of the control role's replicated log:
// jobs, registered processes, groups and the configuration. It is pure and
// deterministic: the same records in the same order give the same state and
// the same answers on every member. It is not safe for concurrent use; Freeze
// gives a copy that another goroutine can encode.
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
	// KindInstance is an entry, KindAgent an agent: agents need not know of each
	// other, so their changes are not sent to them.
	KindInstance = "instance"
	KindAgent    = "agent"
	KindGroup    = "group"
	KindMember   = "member"
	// KindDocument is the desired configuration as a whole, by its version.
	KindDocument = "document"
)

// Reasons of faults.
const (
	reasonOwnerEnded         = "owner_ended"
	reasonSubmissionMissing  = "submission_missing"
	reasonNoTasks            = "no_tasks"
	reasonDigestMissing      = "digest_missing"
	reasonResultCount        = "result_count"
	reasonJobOfOtherGroup    = "job_of_other_group"
	reasonAnswerMissing      = "answer_missing"
	reasonUnknownKind        = "unknown_kind"
	reasonNameMissing        = "name_missing"
	reasonSpecTooLarge       = "spec_too_large"
	reasonRequestIDMissing   = "request_id_missing"
	reasonRequestIDReused    = "request_id_reused"
	reasonTokenMissing       = "token_missing"
	reasonUnknownInstance    = "unknown_instance"
	reasonUnknownCommand     = "unknown_command"
	reasonInstanceKindWanted = "instance_kind_missing"
)

// ErrBadNumber is returned for the name of an instance or group that is not a
// number.
var ErrBadNumber = errors.New("ledger: bad number")

// Fault says why a record changed nothing.
type Fault struct {
	Code   wirepb.FaultCode
	Reason string
}

// Result is the outcome of one record. Exactly one of the answers or Fault is
// set for a record that has an answer.
type Result struct {
	Accept   *wirepb.AcceptResponse
	Complete *wirepb.CompleteResponse
	Register *wirepb.RegisterResponse
	Apply    *wirepb.ApplyResponse
	Document *wirepb.PutDocumentResponse
	Fault    *Fault

	// Ended are the jobs that ended with the record.
	Ended []uint64
	// Revised tells that the configuration changed.
	Revised bool
}

// Ledger is the state after a prefix of the log.
type Ledger struct {
	index uint64
	// clock is the largest wall-clock time seen in a record, so that it never
	// runs backwards when another leader's clock is behind.
	clock int64

	jobs     jobTable
	config   configTable
	requests requestMemory
	procs    processTable
}

// New returns the empty ledger.
func New() *Ledger {
	l := &Ledger{}
	l.jobs.init()
	l.config.init()
	l.requests.init()
	l.procs.init()
	return l
}

// Index is the log index of the last record applied.
func (l *Ledger) Index() uint64 { return l.index }

// Apply executes the record at a log index. Indexes grow; records without a
// command are skipped by the caller, which may leave gaps.
func (l *Ledger) Apply(index uint64, cmd *wirepb.Command) Result {
	l.index = index
	l.clock = max(l.clock, cmd.NowUnixMs)
	before := l.config.revision
	r := l.execute(index, cmd)
	r.Revised = l.config.revision != before
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
		return l.apply(index, body.Apply)
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

// formatNumber is the resource name of an instance or group.
func formatNumber(n uint64) string { return strconv.FormatUint(n, 10) }

// ParseNumber reads the resource name of an instance or group. Error:
// ErrBadNumber.
func ParseNumber(name string) (uint64, error) {
	n, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return 0, ErrBadNumber
	}
	return n, nil
}
