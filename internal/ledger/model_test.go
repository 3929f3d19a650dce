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

func TestMain(m *testing.M) { testkit.Main(m, testkit.RapidOptions{Checks: 60, Steps: 80}) }

// model applies the same records to two ledgers: continuous is never restored,
// and restored is replaced by its own decoded snapshot now and then. The other
// fields hold the expected state.
type model struct {
	index      uint64
	now        int64
	continuous *Ledger
	restored   *Ledger
	// jobs holds the number of the job of each submission.
	jobs   map[string]uint64
	open   map[uint64]uint64 // open job to its group
	groups map[uint64]*wirepb.Group
	// followers are processes that fetch the changes of the configuration.
	followers []*follower
	// revisions are the revisions of the resources written by compare-and-set,
	// by name.
	revisions map[string]uint64
	// firstResponses holds the response to the first request with each request ID.
	firstResponses map[string]*wirepb.ApplyResponse
	// endIndexes are the log indexes at which instances ended.
	endIndexes map[uint64]uint64
	// endTimes are the times of the ends of jobs, in Unix milliseconds.
	endTimes map[uint64]int64
}

type follower struct {
	agent    bool
	revision uint64
	known    map[resourceKey]*wirepb.Resource
}

func newModel() *model {
	return &model{
		continuous: New(), restored: New(),
		jobs: map[string]uint64{}, open: map[uint64]uint64{}, groups: map[uint64]*wirepb.Group{},
		followers: []*follower{{}, {agent: true}},
		revisions: map[string]uint64{}, firstResponses: map[string]*wirepb.ApplyResponse{},
		endIndexes: map[uint64]uint64{}, endTimes: map[uint64]int64{},
	}
}

// apply executes a record on both ledgers and checks that they give the same
// answer.
func (m *model) apply(t *rapid.T, cmd *wirepb.Command) Result {
	m.index += uint64(rapid.IntRange(1, 2).Draw(t, "gap"))
	m.now += rapid.Int64Range(-5, 20).Draw(t, "time")
	cmd.NowUnixMs = m.now
	before := m.continuous.LiveInstances()
	r := m.continuous.Apply(m.index, cmd)
	m.recordEnds(before)
	same := m.restored.Apply(m.index, proto.CloneOf(cmd))
	assert.Equal(t, describe(r), describe(same))
	for _, job := range r.EndedJobs {
		delete(m.open, job)
		m.endTimes[job] = m.continuous.clock
	}
	return r
}

func describe(r Result) string {
	return fmt.Sprint(r.Accept, r.Complete, r.Register, r.Apply, r.Fault, r.EndedJobs, r.ConfigChanged)
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

// drawIncarnation draws the number of a registered instance, ended or not, or
// one that was never registered.
func (m *model) drawIncarnation(t *rapid.T) uint64 {
	known := []uint64{m.index + 100}
	for _, r := range m.continuous.config.changesSince(0) {
		if r.Kind == KindEntry || r.Kind == KindAgent {
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
		Owner:  m.drawIncarnation(t),
		Token:  uint64(rapid.IntRange(1, 3).Draw(t, "token")),
	}}})
	known := m.jobs[submission]
	if r.Accept == nil {
		assert.Assert(t, known == 0, "a known submission was not answered")
		return
	}
	if known != 0 {
		assert.Equal(t, r.Accept.Job.Job, known, "a submission got a second job")
		return
	}
	assert.Equal(t, r.Accept.Outcome, wirepb.AcceptOutcome_ACCEPT_OUTCOME_NEW)
	m.jobs[submission] = r.Accept.Job.Job
	m.open[r.Accept.Job.Job] = r.Accept.Job.Group
}

func (m *model) complete(t *rapid.T) {
	if len(m.open) == 0 {
		t.Skip("no open job")
	}
	job := rapid.SampledFrom(slices.Sorted(maps.Keys(m.open))).Draw(t, "job")
	g := m.continuous.Group(m.open[job])
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
	assert.Equal(t, len(r.EndedJobs) == 1, epoch == g.Epoch)
}

func (m *model) end(t *rapid.T) {
	m.apply(t, &wirepb.Command{Body: &wirepb.Command_EndInstances{EndInstances: &wirepb.EndInstances{
		Incarnations: []uint64{m.drawIncarnation(t), m.drawIncarnation(t)}, Clean: rapid.Bool().Draw(t, "clean"),
	}}})
}

func (m *model) drain(t *rapid.T) {
	m.apply(t, &wirepb.Command{Body: &wirepb.Command_SetDraining{SetDraining: &wirepb.SetDraining{Incarnation: m.drawIncarnation(t)}}})
}

func (m *model) applyResource(t *rapid.T) {
	name := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name")
	id := fmt.Sprint("request", rapid.IntRange(1, 40).Draw(t, "id"))
	expected := m.revisions[name] - uint64(rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "stale"))
	r := m.apply(t, &wirepb.Command{Body: &wirepb.Command_Apply{Apply: &wirepb.ApplyRequest{
		RequestId: id, ExpectedRevision: expected,
		Resource: &wirepb.Resource{Kind: KindTeam, Name: name, Deleted: rapid.IntRange(0, 3).Draw(t, "deleted") == 0},
	}}})
	switch first := m.firstResponses[id]; {
	case r.Fault != nil:
		assert.Assert(t, first != nil && r.Fault.Reason == reasonRequestIDReused)
	case first != nil:
		assert.Assert(t, proto.Equal(first, r.Apply), "a repeated request got another response")
	default:
		m.firstResponses[id] = r.Apply
		assert.Equal(t, r.Apply.Conflict, expected != m.revisions[name])
		m.recordRevision(name, r.Apply)
	}
}

func (m *model) recordRevision(name string, r *wirepb.ApplyResponse) {
	switch {
	case r.Conflict:
	case r.Resource.Deleted:
		delete(m.revisions, name)
	default:
		m.revisions[name] = r.Resource.Revision
	}
}

func (m *model) expire(t *rapid.T) {
	before := m.now - rapid.Int64Range(0, 30).Draw(t, "age")
	forget := before - rapid.Int64Range(0, 30).Draw(t, "later")
	m.apply(t, &wirepb.Command{Body: &wirepb.Command_ExpireJobs{ExpireJobs: &wirepb.ExpireJobs{
		EndedBeforeUnixMs: before, ForgetBeforeUnixMs: forget, Limit: uint32(rapid.IntRange(0, 3).Draw(t, "limit")),
	}}})
	m.removeForgotten(t, forget)
}

// removeForgotten removes the submissions that the ledger no longer knows. Only those
// of jobs that ended before the given time may be among them.
func (m *model) removeForgotten(t *rapid.T, before int64) {
	for submission, job := range m.jobs {
		if m.continuous.JobBySubmission("t", submission) != nil {
			continue
		}
		ended, ok := m.endTimes[job]
		assert.Assert(t, ok && ended < before, "job %d was forgotten, which ended at %d, before %d: %v", job, ended, before, ok)
		delete(m.jobs, submission)
	}
}

// restart replaces the restored ledger by its own decoded snapshot.
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

// follow sends one follower the changes that it lacks, and compares its
// resources with the ledger's.
func (m *model) follow(t *rapid.T) {
	f := rapid.SampledFrom(m.followers).Draw(t, "follower")
	changes, full := m.continuous.Changes(f.revision, f.agent)
	if full {
		f.known = map[resourceKey]*wirepb.Resource{}
	}
	for _, r := range changes {
		key := resourceKey{r.Kind, r.Name}
		assert.Assert(t, f.known[key].GetRevision() < r.Revision, "a change is not newer than what the follower knows")
		f.known[key] = r
		if r.Deleted {
			delete(f.known, key)
		}
	}
	assert.Assert(t, m.continuous.Revision() >= f.revision)
	if f.revision > 0 {
		assert.Equal(t, m.continuous.HasChanges(f.revision, f.agent), len(changes) > 0 || full)
		assert.Equal(t, m.restored.HasChanges(f.revision, f.agent), len(changes) > 0 || full)
	}
	f.revision = m.continuous.Revision()
	current := map[resourceKey]*wirepb.Resource{}
	for _, r := range m.continuous.config.liveResources() {
		if f.agent && r.Kind == KindAgent {
			continue
		}
		current[resourceKey{r.Kind, r.Name}] = r
	}
	assert.Assert(t, maps.Equal(f.known, current), "%v\n%v", f.known, current)
}

// check checks the invariants after each record.
func (m *model) check(t *rapid.T) {
	assert.Assert(t, bytes.Equal(encode(t, m.continuous), encode(t, m.restored)), "snapshots of the two ledgers differ")
	oldest, anyOpen := m.continuous.jobs.oldestOpen()
	for group, g := range m.continuous.processes.groups {
		previous := m.groups[group]
		assert.Assert(t, previous == nil || g.Owner == previous.Owner || g.Epoch > previous.Epoch, "the owner of a group changed without a larger epoch")
		m.groups[group] = g
		assert.Assert(t, g.Owner == 0 || m.continuous.processes.isLive(g.Owner), "group %d belongs to ended owner %d", group, g.Owner)
		assert.Assert(t, g.Owner != 0 || m.continuous.chooseSuccessor("") == 0, "group %d has no owner, but an entry could take it", group)
	}
	for job, group := range m.open {
		assert.Assert(t, m.continuous.Group(group) != nil, "open job %d has no group", job)
		assert.Assert(t, m.continuous.jobs.isOpen(job))
	}
	for _, r := range m.continuous.config.changesSince(0) {
		n, _ := ParseNumber(r.Name)
		if (r.Kind == KindEntry || r.Kind == KindAgent) && r.Deleted && anyOpen {
			assert.Assert(t, m.endIndexes[n] < oldest, "instance %d was dropped, but job %d, accepted before its end, is open", n, oldest)
		}
	}
}

// recordEnds records the instances that the last record ended. before are the
// instances that were live before the record.
func (m *model) recordEnds(before []*wirepb.Instance) {
	for _, i := range before {
		if !m.continuous.processes.isLive(i.Incarnation) {
			m.endIndexes[i.Incarnation] = m.index
		}
	}
}

// TestLedgerKeepsItsPromises checks the invariants of the model under random
// records.
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
			"operate":  m.applyResource,
			"expire":   m.expire,
			"restart":  m.restart,
			"follow":   m.follow,
		})
	})
}

// TestFollowerFarBehindGetsEverything checks that a process gets all resources
// instead of a delta if tombstones newer than its revision were dropped.
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
	assert.Assert(t, full, "a follower that is ahead of a restored ledger must get all resources")
	assert.Equal(t, len(l.requests.order), maxCachedRequests)
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
