package ledger

import (
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
)

// Job returns a job without its payloads, or nil.
func (l *Ledger) Job(number uint64) *wirepb.JobRecord {
	if j := l.jobs.get(number); j != nil {
		return j.record()
	}
	return nil
}

// JobBySubmission returns the job of a submission without its payloads, or nil. Of an
// expired job, only the number, the state, the time of its end and the prefix
// of its digest are set.
func (l *Ledger) JobBySubmission(team, submission string) *wirepb.JobRecord {
	key := submissionKeyOf(team, submission)
	if number, ok := l.jobs.byKey[key]; ok {
		return l.Job(number)
	}
	if expired := l.jobs.findExpired(key); expired != nil {
		return expired.record(team, submission)
	}
	return nil
}

// OpenJobs returns a page of at most limit open jobs of a group, with their
// payloads. The page starts after the job number after. more is set if another
// page follows.
func (l *Ledger) OpenJobs(group, after uint64, limit int) (page []*wirepb.JobRecord, more bool) {
	o := l.jobs.open[group]
	if o == nil {
		return nil, false
	}
	first := sort.Search(len(o.numbers), func(i int) bool { return o.numbers[i] > after })
	size := 0
	for _, number := range o.numbers[first:] {
		j := l.jobs.get(number)
		if j == nil || j.state != stateOpen {
			continue
		}
		if len(page) >= limit || size >= maxPageBytes {
			return page, true
		}
		r := j.record()
		r.Spec.Tasks = j.tasks
		size += proto.Size(r)
		page = append(page, r)
	}
	return page, false
}

// Group returns the present owner and epoch of a group, or nil.
func (l *Ledger) Group(group uint64) *wirepb.Group { return l.processes.groups[group] }

// Instance returns a registered process, or nil. The result must not be
// modified.
func (l *Ledger) Instance(incarnation uint64) *wirepb.Instance {
	return l.processes.instances[incarnation]
}

// MemberDisk returns the disk that a member's ID is tied to, or 0 if there is none.
func (l *Ledger) MemberDisk(id uint64) uint64 {
	res := l.config.get(KindMember, formatNumber(id))
	m := new(wirepb.Member)
	if res == nil || proto.Unmarshal(res.Spec, m) != nil {
		return 0
	}
	return m.Disk
}

// LiveInstances returns the processes that have not ended, ordered by incarnation.
func (l *Ledger) LiveInstances() []*wirepb.Instance {
	var live []*wirepb.Instance
	for _, i := range l.processes.instances {
		if !i.Ended {
			live = append(live, i)
		}
	}
	slices.SortFunc(live, func(a, b *wirepb.Instance) int { return int(a.Incarnation) - int(b.Incarnation) })
	return live
}

// ExpiryDue reports whether an ExpireJobs record with these times, in Unix
// milliseconds, would drop anything.
func (l *Ledger) ExpiryDue(endedBefore, forgetBefore int64) bool {
	if len(l.jobs.ended) > 0 && l.jobs.get(l.jobs.ended[0]).endedMs < endedBefore {
		return true
	}
	return len(l.jobs.expired) > 0 && l.jobs.expired[0].endedMs < forgetBefore
}

// Counts are the sizes of the Ledger's tables, for dumps and metrics.
type Counts struct {
	Open, Ended, Expired         int
	Instances, Groups, Resources int
	Tombstones, RequestsAnswered int
	Index, Revision, DeltasFrom  uint64
	ClockUnixMs                  int64
}

// Counts returns the sizes of the tables.
func (l *Ledger) Counts() Counts {
	open := 0
	for _, o := range l.jobs.open {
		open += o.count
	}
	return Counts{
		Open:             open,
		Ended:            len(l.jobs.ended),
		Expired:          len(l.jobs.expired),
		Instances:        len(l.processes.instances),
		Groups:           len(l.processes.groups),
		Resources:        len(l.config.resources) - l.config.deletedCount,
		Tombstones:       l.config.deletedCount,
		RequestsAnswered: len(l.requests.order),
		Index:            l.index,
		Revision:         l.config.revision,
		DeltasFrom:       l.config.deltasFrom,
		ClockUnixMs:      l.clock,
	}
}
