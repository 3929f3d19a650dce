package runner

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/runtable"
)

// minionRecord returns what control members remember of a minion.
func minionRecord(r *Report) *wirepb.MinionRecord {
	return &wirepb.MinionRecord{
		Endpoint: r.Endpoint, Service: r.Service, Labels: r.Labels, Capacity: r.Capacity.Message(),
		Draining: r.Draining, Sequence: r.Sequence, StartedUnixMs: r.StartedUnixMs,
	}
}

// minionTraits returns the properties of a minion in which it may differ from
// others.
func minionTraits(m *wirepb.MinionRecord) []string {
	size := fmt.Sprintf("size=%d,%d,%d", m.Capacity.GetCpuMilli(), m.Capacity.GetMemoryMb(), m.Capacity.GetGpus())
	return append(slices.Clone(m.Labels), size)
}

// sameMinion reports whether two records differ at most in the number of the
// last report. a may be nil.
func sameMinion(a, b *wirepb.MinionRecord) bool {
	if a == nil {
		return false
	}
	b = proto.CloneOf(b)
	b.Sequence = a.Sequence
	return proto.Equal(a, b)
}

// reportOf returns the report that a record stands for.
func reportOf(m *wirepb.MinionRecord) Report {
	return Report{
		Endpoint: m.Endpoint, Service: m.Service, Labels: m.Labels,
		Capacity: runtable.NeedOf(m.Capacity), Sequence: m.Sequence, StartedUnixMs: m.StartedUnixMs,
	}
}

// minionRemembered is the event of a control member that remembers the minion of
// this runner from before its restart. All runners that are killed at once come
// back within milliseconds, but a minion reports only every second or two. If
// the minion confirms that it is still the recorded incarnation, the runner
// offers its capacity without waiting for its report. A minion that was draining
// is not used.
type minionRemembered struct{ record *wirepb.MinionRecord }

func (e minionRemembered) handle(l *loop, _ time.Time) {
	if !l.mayUse(e.record) {
		return
	}
	report := reportOf(e.record)
	l.propose(&report)
}

// mayUse reports whether the minion of a record is to be asked: the record names
// one, it was not draining, and this runner knows no minion yet.
func (l *loop) mayUse(record *wirepb.MinionRecord) bool {
	if record.Endpoint == "" || record.Service == "" || record.Capacity == nil {
		l.p.opts.Log.Info("record names no minion", "endpoint", record.Endpoint, "service", record.Service)
		return false
	}
	return !record.Draining && l.incarnation.number == 0
}
