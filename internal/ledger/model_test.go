package ledger

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, testkit.Rapid{Checks: 60, Steps: 80}) }

// model drives two ledgers with the same records: one for its whole life, and
// one that is restored from a snapshot now and then. It keeps what no record
// may ever change.
type model struct {
	index    uint64
	now      int64
	whole    *Ledger
	restored *Ledger
	// jobOf is the job of each submission, until it is forgotten.
	jobOf  map[string]uint64
	open   map[uint64]uint64 // open job to its group
	groups map[uint64]*wirepb.Group
	// followers hold the resources that each one knows.
	followers []*follower
	// winners are the revisions written by compare-and-set, by name.
	winners map[string]uint64
	answers map[string]*wirepb.ApplyResponse
	// ends are the indexes at which instances ended.
	ends map[uint64]uint64
}

type follower struct {
	agent    bool
	revision uint64
	known    map[resourceKey]*wirepb.Resource
}

func newModel() *model {
	return &model{
		whole: New(), restored: New(),
		jobOf: map[string]uint64{}, open: map[uint64]uint64{}, groups: map[uint64]*wirepb.Group{},
		followers: []*follower{{}, {agent: true}},
		winners:   map[string]uint64{}, answers: map[string]*wirepb.ApplyResponse{},
		ends: map[uint64]uint64{},
	}
}

// apply executes a record on both ledgers and compares the answers.
func (m *model) apply(t *rapid.T, cmd *wirepb.Command) Result {
	m.index += uint64(rapid.IntRange(1, 2).Draw(t, "gap"))
	m.now += rapid.Int64Range(-5, 20).Draw(t, "time")
	cmd.NowUnixMs = m.now
	before := m.whole.Live()
	r := m.whole.Apply(m.index, cmd)
	m.noteEnds(before)
	same := m.restored.Apply(m.index, proto.CloneOf(cmd))
	assert.Equal(t, describe(r), describe(same))
	for _, job := range r.Ended {
		delete(m.open, job)
	}
	return r
}

func describe(r Result) string {
	return fmt.Sprint(r.Accept, r.Complete, r.Register, r.Apply, r.Fault, r.Ended, r.Revised)
}

func (m *model) register(t *rapid.T) {
	kind := wirepb.InstanceKind(rapid.IntRange(1, 2).Draw(t, "kind"))
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
	i := &wirepb.Instance{
		Kind: kind, Name: name, Zone: name[:1], Address: name + ":1",
		Token: fmt.Sprint("token", rapid.IntRange(1, 50).Draw(t, "token")),
	}
	m.apply(t, &wirepb.Command{Body: &wirepb.Command_Register{Register: &wirepb.RegisterRequest{Instance: i}}})
}

// some draws a registered incarnation, ended or not, or one that never was.
func (m *model) some(t *rapid.T) uint64 {
	known := []uint64{m.index + 100}
	for _, r := range m.whole.config.since(0) {
		if r.Kind == KindInstance || r.Kind == KindAgent {
			n, _ := ParseNumber(r.Name)
			known = append(known, n)
		}
	}
	return rapid.SampledFrom(known).Draw(t, "incarnation")
}

func (m *model) accept(t *rapid.T) {
	submission := rapid.SampledFrom([]string{"s1", "s2", "s3", "s4", "s5", "s6"}).Draw(t, "submission")
	digest := rapid.SampledFrom([]string{"d1", "d1", "d1", "d2"}).Draw(t, "digest")
	r := m.apply(t, &wirepb.Command{Body: &wirepb.Command_Accept{Accept: &wirepb.AcceptRequest{
		Spec:   &wirepb.JobSpec{Team: "t", Submission: submission, Tasks: []*wirepb.Task{{Payload: []byte("x")}}},
		Digest: []byte(digest),
		Owner:  m.some(t),
		Token:  uint64(rapid.IntRange(1, 3).Draw(t, "token")),
	}}})
	known := m.jobOf[submission]
	if r.Accept == nil {
		assert.Assert(t, known == 0, "a known submission is always answered")
		return
	}
	if known != 0 {
		assert.Equal(t, r.Accept.Job.Job, known, "one submission, one job")
		return
	}
	assert.Equal(t, r.Accept.Outcome, wirepb.AcceptOutcome_ACCEPT_OUTCOME_NEW)
	m.jobOf[submission] = r.Accept.Job.Job
	m.open[r.Accept.Job.Job] = r.Accept.Job.Group
}

func (m *model) complete(t *rapid.T) {
	if len(m.open) == 0 {
		t.Skip("no open job")
	}
	job := rapid.SampledFrom(slices.Sorted(maps.Keys(m.open))).Draw(t, "job")
	g := m.whole.Group(m.open[job])
	epoch := g.Epoch - uint64(rapid.IntRange(0, 1).Draw(t, "late"))
	whole := rapid.Bool().Draw(t, "complete")
	answer := &wirepb.JobAnswer{Complete: whole, Reason: "r"}
	if whole {
		answer.Results = [][]byte{[]byte("result")}
	}
	r := m.apply(t, &wirepb.Command{Body: &wirepb.Command_Complete{Complete: &wirepb.CompleteRequest{
		Owner: g.Owner, Group: g.Group, Epoch: epoch,
		Completions: []*wirepb.JobCompletion{{Job: job, Answer: answer}},
	}}})
	assert.Equal(t, r.Complete.Fenced, epoch != g.Epoch)
	assert.Equal(t, len(r.Ended) == 1, epoch == g.Epoch)
}

func (m *model) end(t *rapid.T) {
	m.apply(t, &wirepb.Command{Body: &wirepb.Command_EndInstances{EndInstances: &wirepb.EndInstances{
		Incarnations: []uint64{m.some(t), m.some(t)}, Clean: rapid.Bool().Draw(t, "clean"),
	}}})
}

func (m *model) drain(t *rapid.T) {
	m.apply(t, &wirepb.Command{Body: &wirepb.Command_SetDraining{SetDraining: &wirepb.SetDraining{Incarnation: m.some(t)}}})
}

func (m *model) operate(t *rapid.T) {
	name := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name")
	id := fmt.Sprint("request", rapid.IntRange(1, 40).Draw(t, "id"))
	expected := m.winners[name] - uint64(rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "stale"))
	r := m.apply(t, &wirepb.Command{Body: &wirepb.Command_Apply{Apply: &wirepb.ApplyRequest{
		RequestId: id, ExpectedRevision: expected,
		Resource: &wirepb.Resource{Kind: KindTeam, Name: name, Deleted: rapid.IntRange(0, 3).Draw(t, "deleted") == 0},
	}}})
	switch first := m.answers[id]; {
	case r.Fault != nil:
		assert.Assert(t, first != nil && r.Fault.Reason == reasonRequestIDReused)
	case first != nil:
		assert.Assert(t, proto.Equal(first, r.Apply), "a resend gets the first answer")
	default:
		m.answers[id] = r.Apply
		assert.Equal(t, r.Apply.Conflict, expected != m.winners[name])
		m.noteWinner(name, r.Apply)
	}
}

func (m *model) noteWinner(name string, r *wirepb.ApplyResponse) {
	switch {
	case r.Conflict:
	case r.Resource.Deleted:
		delete(m.winners, name)
	default:
		m.winners[name] = r.Resource.Revision
	}
}

func (m *model) expire(t *rapid.T) {
	before := m.now - rapid.Int64Range(0, 30).Draw(t, "age")
	m.apply(t, &wirepb.Command{Body: &wirepb.Command_ExpireJobs{ExpireJobs: &wirepb.ExpireJobs{
		EndedBeforeUnixMs: before, Limit: uint32(rapid.IntRange(0, 3).Draw(t, "limit")),
	}}})
}

// restart replaces one ledger by what its snapshot gives back.
func (m *model) restart(t *rapid.T) {
	l, err := Decode(bytes.NewReader(encode(t, m.restored)))
	assert.NilError(t, err)
	m.restored = l
}

func encode(t assert.TestingT, l *Ledger) []byte {
	var buf bytes.Buffer
	assert.NilError(t, l.Freeze().Encode(&buf))
	return buf.Bytes()
}

// follow brings one follower up to date and compares it with the ledger.
func (m *model) follow(t *rapid.T) {
	f := rapid.SampledFrom(m.followers).Draw(t, "follower")
	changes, full := m.whole.Changes(f.revision, f.agent)
	if full {
		f.known = map[resourceKey]*wirepb.Resource{}
	}
	for _, r := range changes {
		key := resourceKey{r.Kind, r.Name}
		assert.Assert(t, f.known[key].GetRevision() < r.Revision, "a change is newer than what is known")
		f.known[key] = r
		if r.Deleted {
			delete(f.known, key)
		}
	}
	assert.Assert(t, m.whole.Revision() >= f.revision)
	if f.revision > 0 {
		assert.Equal(t, m.whole.Changed(f.revision, f.agent), len(changes) > 0 || full)
		assert.Equal(t, m.restored.Changed(f.revision, f.agent), len(changes) > 0 || full)
	}
	f.revision = m.whole.Revision()
	current := map[resourceKey]*wirepb.Resource{}
	for _, r := range m.whole.config.live() {
		if f.agent && r.Kind == KindAgent {
			continue
		}
		current[resourceKey{r.Kind, r.Name}] = r
	}
	assert.Assert(t, maps.Equal(f.known, current), "%v\n%v", f.known, current)
}

// check holds after each record.
func (m *model) check(t *rapid.T) {
	assert.Assert(t, bytes.Equal(encode(t, m.whole), encode(t, m.restored)), "snapshots differ")
	oldest, some := m.whole.jobs.oldestOpen()
	for group, g := range m.whole.procs.groups {
		past := m.groups[group]
		assert.Assert(t, past == nil || g.Owner == past.Owner || g.Epoch > past.Epoch, "epochs grow")
		m.groups[group] = g
		assert.Assert(t, g.Owner == 0 || m.whole.procs.live(g.Owner), "group %d of ended owner %d", group, g.Owner)
		assert.Assert(t, g.Owner != 0 || m.whole.successor("") == 0, "group %d without an owner", group)
	}
	for job, group := range m.open {
		assert.Assert(t, m.whole.Group(group) != nil, "open job %d without a group", job)
		assert.Assert(t, m.whole.jobs.isOpen(job))
	}
	for _, r := range m.whole.config.since(0) {
		n, _ := ParseNumber(r.Name)
		if (r.Kind == KindInstance || r.Kind == KindAgent) && r.Deleted && some {
			assert.Assert(t, m.ends[n] < oldest, "instance %d dropped before job %d ended", n, oldest)
		}
	}
}

// noteEnds notes the instances that the last record ended.
func (m *model) noteEnds(before []*wirepb.Instance) {
	for _, i := range before {
		if !m.whole.procs.live(i.Incarnation) {
			m.ends[i.Incarnation] = m.index
		}
	}
}

func TestLedgerKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"register": m.register,
			"accept":   m.accept,
			"accept2":  m.accept,
			"complete": m.complete,
			"end":      m.end,
			"drain":    m.drain,
			"operate":  m.operate,
			"expire":   m.expire,
			"restart":  m.restart,
			"follow":   m.follow,
		})
	})
}

func TestFollowerFarBehindGetsEverything(t *testing.T) {
	l := New()
	apply := func(index uint64, id string, deleted bool) {
		r := l.Apply(index, &wirepb.Command{Body: &wirepb.Command_Apply{Apply: &wirepb.ApplyRequest{
			RequestId: fmt.Sprint(index), AnyRevision: true,
			Resource: &wirepb.Resource{Kind: KindTeam, Name: id, Deleted: deleted},
		}}})
		assert.Assert(t, r.Apply != nil)
	}
	apply(1, "kept", false)
	for i := uint64(1); i <= maxTombstones+10; i++ {
		apply(2*i, fmt.Sprint(i), false)
		apply(2*i+1, fmt.Sprint(i), true)
	}
	changes, full := l.Changes(2, false)
	assert.Assert(t, full)
	assert.Equal(t, len(changes), 1)
	changes, full = l.Changes(l.Revision()-1, false)
	assert.Assert(t, !full)
	assert.Equal(t, len(changes), 1)
	_, full = l.Changes(l.Revision()+1, false)
	assert.Assert(t, full, "one that is ahead of a restored ledger starts over")
	assert.Equal(t, len(l.requests.order), rememberedRequests)
}

func TestDamagedSnapshotIsRefused(t *testing.T) {
	l := New()
	l.Apply(1, &wirepb.Command{Body: &wirepb.Command_Register{Register: &wirepb.RegisterRequest{
		Instance: &wirepb.Instance{Kind: wirepb.InstanceKind_INSTANCE_KIND_ENTRY, Name: "a", Token: "t"},
	}}})
	whole := encode(t, l)
	for cut := range whole {
		_, err := Decode(bytes.NewReader(whole[:cut]))
		assert.ErrorIs(t, err, ErrSnapshotDamaged)
	}
}
