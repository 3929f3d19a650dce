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

// JobOf returns the job of a submission without its payloads, or nil. Of an
// expired job only number, state and the start of the digest are known.
func (l *Ledger) JobOf(team, submission string) *wirepb.JobRecord {
	key := keyOf(team, submission)
	if number, ok := l.jobs.byKey[key]; ok {
		return l.Job(number)
	}
	if past := l.jobs.expiredJob(key); past != nil {
		return past.record(team, submission)
	}
	return nil
}

// OpenJobs returns a page of a group's open jobs after a number, with their
// payloads. more tells that another page follows.
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
		if len(page) >= limit || size >= pageBytes {
			return page, true
		}
		r := j.record()
		r.Spec.Tasks = j.tasks
		size += proto.Size(r)
		page = append(page, r)
	}
	return page, false
}

// Group returns the present ownership of a group, or nil.
func (l *Ledger) Group(group uint64) *wirepb.Group { return l.procs.groups[group] }

// Instance returns a registered process, or nil. It must not be changed.
func (l *Ledger) Instance(incarnation uint64) *wirepb.Instance { return l.procs.instances[incarnation] }

// Disk returns the disk that a member's ID is tied to; 0 when it is to none.
func (l *Ledger) Disk(id uint64) uint64 {
	res := l.config.get(KindMember, formatNumber(id))
	m := new(wirepb.Member)
	if res == nil || proto.Unmarshal(res.Spec, m) != nil {
		return 0
	}
	return m.Disk
}

// Live returns the processes that have not ended, by incarnation.
func (l *Ledger) Live() []*wirepb.Instance {
	var live []*wirepb.Instance
	for _, i := range l.procs.instances {
		if !i.Ended {
			live = append(live, i)
		}
	}
	slices.SortFunc(live, func(a, b *wirepb.Instance) int { return int(a.Incarnation) - int(b.Incarnation) })
	return live
}

// Due tells whether an ExpireJobs record with these times would drop anything.
func (l *Ledger) Due(endedBefore, forgetBefore int64) bool {
	if len(l.jobs.ended) > 0 && l.jobs.get(l.jobs.ended[0]).endedMs < endedBefore {
		return true
	}
	return len(l.jobs.expired) > 0 && l.jobs.expired[0].endedMs < forgetBefore
}

// Counts are the sizes of the ledger's tables, for dumps and metrics.
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
		Instances:        len(l.procs.instances),
		Groups:           len(l.procs.groups),
		Resources:        len(l.config.current) - l.config.deleted,
		Tombstones:       l.config.deleted,
		RequestsAnswered: len(l.requests.order),
		Index:            l.index,
		Revision:         l.config.revision,
		DeltasFrom:       l.config.floor,
		ClockUnixMs:      l.clock,
	}
}
