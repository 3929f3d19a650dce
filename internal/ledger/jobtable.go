package ledger

import (
	"crypto/sha256"
	"slices"
	"sort"
	"unique"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/charts"
	"endivewing/internal/statechart"
)

var (
	jobChart = statechart.MustLoad(charts.LedgerJob)

	stateOpen     = jobChart.State("open")
	stateComplete = jobChart.State("complete")
	stateFailed   = jobChart.State("failed")

	eventComplete = jobChart.Event("complete")
	eventFail     = jobChart.Event("fail")
	eventExpire   = jobChart.Event("expire")
)

const (
	// submissionKeyBytes is the length of a submission's hash.
	submissionKeyBytes = 16
	// maxPageBytes limits the size of one page of open jobs. A page may exceed
	// it by its last job.
	maxPageBytes = 4 << 20
)

// submissionKey is a hash of a team and a submission ID.
type submissionKey [submissionKeyBytes]byte

func submissionKeyOf(team, submission string) submissionKey {
	h := sha256.New()
	_, _ = h.Write([]byte(team))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(submission))
	return submissionKey(h.Sum(nil)[:submissionKeyBytes])
}

// job is a job that is open or whose answer is kept. It is immutable: a change
// of its state stores a new one.
type job struct {
	// number is the log index of the record that accepted the job.
	number       uint64
	group        uint64
	token        uint64
	team         unique.Handle[string]
	submission   string
	service      unique.Handle[string]
	digest       []byte
	timeoutMs    uint64
	unrepeatable bool
	taskCount    uint32
	state        statechart.State
	tasks        []*wirepb.Task // while open
	answer       []byte         // encoded JobAnswer, once ended
	acceptedMs   int64
	endedMs      int64
	endIndex     uint64
	endEpoch     uint64
}

// jobRow is an entry in the list of jobs. job is nil after the job has expired.
type jobRow struct {
	number uint64
	job    *job
}

// jobTable holds the jobs.
type jobTable struct {
	rows      []jobRow // by number
	emptyRows int      // rows without a job
	byKey     map[submissionKey]uint64
	// open holds the open jobs of each group.
	open map[uint64]*openJobs
	// ended are the numbers of the jobs whose answers are kept, in the order of
	// their ends.
	ended []uint64
	// expired are the jobs whose answers were dropped and that are not
	// forgotten yet, in the order in which their answers were dropped.
	expired     []expiredJob
	expiredBase uint64 // position by which expiredAt refers to expired[0]
	expiredAt   map[submissionKey]uint64
}

// openJobs are the open jobs of one group, ordered by number. numbers may also
// hold jobs that have ended since; count counts only open ones.
type openJobs struct {
	numbers []uint64
	count   int
}

func (t *jobTable) init() {
	t.byKey = map[submissionKey]uint64{}
	t.open = map[uint64]*openJobs{}
	t.expiredAt = map[submissionKey]uint64{}
}

// rowIndex returns the index of a job's row, or -1 if there is none.
func (t *jobTable) rowIndex(number uint64) int {
	i := sort.Search(len(t.rows), func(i int) bool { return t.rows[i].number >= number })
	if i == len(t.rows) || t.rows[i].number != number || t.rows[i].job == nil {
		return -1
	}
	return i
}

func (t *jobTable) get(number uint64) *job {
	i := t.rowIndex(number)
	if i < 0 {
		return nil
	}
	return t.rows[i].job
}

// insert adds a job. Its number must be the largest so far.
func (t *jobTable) insert(j *job) {
	t.rows = append(t.rows, jobRow{j.number, j})
	t.byKey[submissionKeyOf(j.team.Value(), j.submission)] = j.number
	if j.state == stateOpen {
		t.openJobsOf(j.group).add(j.number)
	}
}

func (t *jobTable) openJobsOf(group uint64) *openJobs {
	o := t.open[group]
	if o == nil {
		o = &openJobs{}
		t.open[group] = o
	}
	return o
}

func (o *openJobs) add(number uint64) {
	o.numbers = append(o.numbers, number)
	o.count++
}

// removeOpen counts down the open jobs of a group after one has ended. It
// removes the numbers of ended jobs when they are the majority.
func (t *jobTable) removeOpen(group uint64) {
	const slack = 64
	o := t.open[group]
	o.count--
	if o.count == 0 {
		delete(t.open, group)
		return
	}
	if len(o.numbers) > 2*o.count+slack {
		o.numbers = slices.DeleteFunc(o.numbers, func(n uint64) bool { return !t.isOpen(n) })
	}
}

// openCount returns the number of open jobs of a group.
func (t *jobTable) openCount(group uint64) int {
	if o := t.open[group]; o != nil {
		return o.count
	}
	return 0
}

// oldestOpen returns the smallest number of an open job. ok is false if no job
// is open.
func (t *jobTable) oldestOpen() (number uint64, ok bool) {
	for _, o := range t.open {
		first := t.firstOpen(o)
		if first != 0 && (!ok || first < number) {
			number, ok = first, true
		}
	}
	return number, ok
}

// firstOpen removes the leading numbers of ended jobs. It returns the number of
// the first open job, or 0.
func (t *jobTable) firstOpen(o *openJobs) uint64 {
	for len(o.numbers) > 0 {
		if t.isOpen(o.numbers[0]) {
			return o.numbers[0]
		}
		o.numbers = o.numbers[1:]
	}
	return 0
}

func (t *jobTable) isOpen(number uint64) bool {
	j := t.get(number)
	return j != nil && j.state == stateOpen
}
