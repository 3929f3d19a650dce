package control

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/disk"
)

const (
	// roleRunner is the role whose processes announce their minions.
	roleRunner = "runner"
	// minionsFile is the file of the minion records, in the data folder.
	minionsFile = "minions"
	// maxMinionRecords bounds the records. It is several times the number of
	// runners of the largest deployment.
	maxMinionRecords = 4096
	// minionSaveBackoff is the pause after the records could not be written.
	minionSaveBackoff = 5 * time.Second
)

// minionRecords remembers the minions that runners have announced, also across
// restarts of this member. A runner that has restarted knows its minion again
// at once; without the record it would wait for the minion's next report.
//
// The records are hints: each member keeps its own, they may be outdated, and a
// runner uses one only if the minion confirms it. They need no quorum.
type minionRecords struct {
	path    string
	records *wirepb.MinionRecords
	// changed is set while the file lacks a change. saving is set while the file
	// is being written.
	changed, saving bool
	retryAt         time.Time
}

// minionsSaved reports the end of an attempt to write the records.
type minionsSaved struct{ err error }

// load reads the records. Without a readable file it starts with none.
func (m *minionRecords) load(p *Process) {
	m.path = filepath.Join(p.opts.DataDir, minionsFile)
	m.records = &wirepb.MinionRecords{}
	text, err := os.ReadFile(m.path)
	if err == nil {
		err = proto.Unmarshal(text, m.records)
	}
	if err != nil {
		m.records = &wirepb.MinionRecords{}
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		p.opts.Log.Error(err, "minion records not read")
	}
	if m.records.Minions == nil {
		m.records.Minions = map[string]*wirepb.MinionRecord{}
	}
}

// remember records the minion of a runner.
func (m *minionRecords) remember(a *wirepb.Announce) {
	known := m.records.Minions[a.Address]
	if a.Role != roleRunner || a.Minion == nil || proto.Equal(known, a.Minion) {
		return
	}
	if known == nil && len(m.records.Minions) >= maxMinionRecords {
		m.dropOldest()
	}
	m.records.Minions[a.Address] = a.Minion
	m.changed = true
}

// dropOldest drops the record of the minion that started first.
func (m *minionRecords) dropOldest() {
	oldest := ""
	for address, r := range m.records.Minions {
		if o := m.records.Minions[oldest]; o == nil || r.StartedUnixMs < o.StartedUnixMs {
			oldest = address
		}
	}
	delete(m.records.Minions, oldest)
}

// lastMinion returns the last minion of a runner that does not know its minion, or
// nil.
func (m *minionRecords) lastMinion(a *wirepb.Announce) *wirepb.MinionRecord {
	if a.Role != roleRunner || a.Service != "" {
		return nil
	}
	return m.records.Minions[a.Address]
}

// saveIfDue starts to write changed records.
func (m *minionRecords) saveIfDue(l *loop, now time.Time) {
	if !m.changed || m.saving || now.Before(m.retryAt) {
		return
	}
	text, err := proto.Marshal(m.records)
	if err != nil {
		l.opts.Log.Error(err, "minion records not encoded")
		return
	}
	m.changed, m.saving = false, true
	p, path := l.p, m.path
	p.snapshotTransfers.goroutines.Go(func() { p.enqueue(minionsSaved{disk.WriteFile(path, text)}) })
}

func (s minionsSaved) handle(l *loop) {
	m := &l.minions
	m.saving = false
	if s.err != nil {
		l.opts.Log.Error(s.err, "minion records not written")
		m.changed, m.retryAt = true, time.Now().Add(minionSaveBackoff)
	}
}
