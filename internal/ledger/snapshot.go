package ledger

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/statechart"
)

const (
	// snapshotVersion is the version of the format that Encode writes.
	snapshotVersion = 1
	// maxRecordBytes limits one record when a snapshot is read.
	maxRecordBytes = 64 << 20
)

var (
	// ErrSnapshotVersion is returned for a snapshot in another format version.
	ErrSnapshotVersion = errors.New("ledger: snapshot has another format version")
	// ErrSnapshotDamaged is returned for a truncated or malformed snapshot.
	ErrSnapshotDamaged = errors.New("ledger: snapshot damaged")
)

// Frozen is an immutable copy of a Ledger at one index.
type Frozen struct {
	header    *wirepb.SnapshotHeader
	resources []*wirepb.Resource
	applied   []*wirepb.AppliedRequest
	rows      []jobRow
	expired   []expiredJob
}

// Freeze returns a copy. It copies the tables but shares the immutable records
// in them.
func (l *Ledger) Freeze() *Frozen {
	f := &Frozen{
		header: &wirepb.SnapshotHeader{
			Version:     snapshotVersion,
			Index:       l.index,
			ClockUnixMs: l.clock,
			Revision:    l.config.revision,
			Floor:       l.config.deltasFrom,
		},
		resources: l.config.changesSince(0),
		rows:      slices.Clone(l.jobs.rows),
		expired:   l.jobs.expired,
	}
	for _, id := range l.requests.order {
		f.applied = append(f.applied, l.requests.byID[id])
	}
	return f
}

// Index returns the log index of the last record that the copy includes.
func (f *Frozen) Index() uint64 { return f.header.Index }

// recordWriter writes records. It keeps the first error and skips later writes.
type recordWriter struct {
	w       *bufio.Writer
	records uint64
	err     error
}

func (w *recordWriter) write(r *wirepb.SnapshotRecord) {
	if w.err != nil {
		return
	}
	opts := protodelim.MarshalOptions{MarshalOptions: proto.MarshalOptions{Deterministic: true}}
	_, w.err = opts.MarshalTo(w.w, r)
	w.records++
}

// Encode writes the copy as a stream of records. The same state gives the same
// bytes. It returns the errors of to, wrapped.
func (f *Frozen) Encode(to io.Writer) error {
	w := &recordWriter{w: bufio.NewWriterSize(to, 1<<16)}
	w.write(&wirepb.SnapshotRecord{Body: &wirepb.SnapshotRecord_Header{Header: f.header}})
	for _, res := range f.resources {
		w.write(&wirepb.SnapshotRecord{Body: &wirepb.SnapshotRecord_Resource{Resource: res}})
	}
	for _, a := range f.applied {
		w.write(&wirepb.SnapshotRecord{Body: &wirepb.SnapshotRecord_Applied{Applied: a}})
	}
	for _, e := range f.expired {
		w.write(&wirepb.SnapshotRecord{Body: &wirepb.SnapshotRecord_Expired{Expired: e.toMessage()}})
	}
	for _, row := range f.rows {
		if row.job == nil {
			continue
		}
		r := row.job.record()
		r.Spec.Tasks = row.job.tasks
		w.write(&wirepb.SnapshotRecord{Body: &wirepb.SnapshotRecord_Job{Job: r}})
	}
	w.write(&wirepb.SnapshotRecord{Body: &wirepb.SnapshotRecord_Trailer{
		Trailer: &wirepb.SnapshotTrailer{Records: w.records},
	}})
	if w.err == nil {
		w.err = w.w.Flush()
	}
	return eris.Wrap(w.err, "write snapshot")
}

func (e *expiredJob) toMessage() *wirepb.ExpiredJob {
	return &wirepb.ExpiredJob{
		Key:         e.key[:],
		Digest:      e.digest[:],
		Job:         e.number,
		State:       wireState(e.state),
		EndedUnixMs: e.endedMs,
	}
}

// Decode reads a snapshot. It returns ErrSnapshotVersion, ErrSnapshotDamaged or
// errors of from, wrapped.
func Decode(from io.Reader) (*Ledger, error) {
	d := &decoder{r: bufio.NewReaderSize(from, 1<<16), l: New()}
	if err := d.readHeader(); err != nil {
		return nil, err
	}
	for {
		record, err := d.next()
		if err != nil {
			return nil, err
		}
		if t := record.GetTrailer(); t != nil {
			if t.Records != d.records-1 {
				return nil, eris.Wrapf(ErrSnapshotDamaged, "read %d of %d records", d.records-1, t.Records)
			}
			return d.finish(), nil
		}
		if err := d.apply(record); err != nil {
			return nil, err
		}
	}
}

type decoder struct {
	r          *bufio.Reader
	l          *Ledger
	records    uint64
	deltasFrom uint64
}

func (d *decoder) next() (*wirepb.SnapshotRecord, error) {
	record := new(wirepb.SnapshotRecord)
	opts := protodelim.UnmarshalOptions{MaxSize: maxRecordBytes}
	if err := opts.UnmarshalFrom(d.r, record); err != nil {
		return nil, eris.Wrapf(errors.Join(ErrSnapshotDamaged, err), "record %d", d.records)
	}
	d.records++
	return record, nil
}

func (d *decoder) readHeader() error {
	record, err := d.next()
	if err != nil {
		return err
	}
	h := record.GetHeader()
	if h == nil {
		return eris.Wrap(ErrSnapshotDamaged, "no header")
	}
	if h.Version != snapshotVersion {
		return eris.Wrapf(ErrSnapshotVersion, "version %d, want %d", h.Version, snapshotVersion)
	}
	d.l.index = h.Index
	d.l.clock = h.ClockUnixMs
	d.l.config.revision = h.Revision
	d.deltasFrom = h.Floor
	return nil
}

func (d *decoder) apply(record *wirepb.SnapshotRecord) error {
	switch body := record.Body.(type) {
	case *wirepb.SnapshotRecord_Resource:
		return d.putResource(body.Resource)
	case *wirepb.SnapshotRecord_Applied:
		d.l.requests.add(body.Applied)
	case *wirepb.SnapshotRecord_Expired:
		return d.putExpired(body.Expired)
	case *wirepb.SnapshotRecord_Job:
		return d.putJob(body.Job)
	default:
		return eris.Wrapf(ErrSnapshotDamaged, "record %d is of an unknown kind", d.records-1)
	}
	return nil
}

func (d *decoder) putResource(res *wirepb.Resource) error {
	// put sets the revision to that of the resource, which may be an older one.
	newest := d.l.config.revision
	d.l.config.put(res)
	d.l.config.revision = newest
	if res.Deleted {
		return nil
	}
	switch res.Kind {
	case KindEntry, KindAgent:
		i := new(wirepb.Instance)
		if err := proto.Unmarshal(res.Spec, i); err != nil {
			return eris.Wrap(errors.Join(ErrSnapshotDamaged, err), "decode instance")
		}
		d.l.processes.instances[i.Incarnation] = i
		d.l.processes.byToken[i.Token] = i.Incarnation
		if i.Ended {
			d.l.processes.endedCount++
		}
	case KindGroup:
		g := new(wirepb.Group)
		if err := proto.Unmarshal(res.Spec, g); err != nil {
			return eris.Wrap(errors.Join(ErrSnapshotDamaged, err), "decode group")
		}
		d.l.processes.groups[g.Group] = g
	}
	return nil
}

func (d *decoder) putExpired(e *wirepb.ExpiredJob) error {
	if len(e.Key) != submissionKeyBytes || len(e.Digest) != digestPrefixBytes {
		return eris.Wrap(ErrSnapshotDamaged, "expired job with a wrong key or digest length")
	}
	d.l.jobs.addExpired(expiredJob{
		key:     submissionKey(e.Key),
		digest:  digestPrefixOf(e.Digest),
		number:  e.Job,
		endedMs: e.EndedUnixMs,
		state:   chartState(e.State),
	})
	return nil
}

func (d *decoder) putJob(r *wirepb.JobRecord) error {
	if r.Spec == nil {
		return eris.Wrap(ErrSnapshotDamaged, "job without a spec")
	}
	j := jobFromSpec(r.Spec)
	j.number, j.group, j.token, j.digest = r.Job, r.Group, r.Token, r.Digest
	j.taskCount = r.Spec.TaskCount
	j.state = chartState(r.State)
	j.acceptedMs, j.endedMs = r.AcceptedUnixMs, r.EndedUnixMs
	j.endIndex, j.endEpoch = r.EndIndex, r.EndEpoch
	if r.Answer != nil {
		j.answer = encodeAnswer(r.Answer)
	}
	d.l.jobs.insert(j)
	if j.state != stateOpen {
		d.l.jobs.ended = append(d.l.jobs.ended, j.number)
	}
	return nil
}

// finish restores the order in which jobs ended. The snapshot holds the jobs by
// number.
func (d *decoder) finish() *Ledger {
	d.l.config.deltasFrom = max(d.l.config.deltasFrom, d.deltasFrom)
	t := &d.l.jobs
	slices.SortFunc(t.ended, func(a, b uint64) int {
		x, y := t.get(a), t.get(b)
		return cmp.Or(cmp.Compare(x.endIndex, y.endIndex), cmp.Compare(a, b))
	})
	return d.l
}

func chartState(s wirepb.JobState) statechart.State {
	switch s {
	case wirepb.JobState_JOB_STATE_OPEN:
		return stateOpen
	case wirepb.JobState_JOB_STATE_COMPLETE:
		return stateComplete
	default:
		return stateFailed
	}
}
