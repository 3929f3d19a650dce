package control

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
)

func loadMinionRecords(dir string) *minionRecords {
	m := &minionRecords{}
	m.load(&Process{opts: Options{DataDir: dir, Log: logr.Discard()}})
	return m
}

func announceMinion(address string, startedUnixMs int64) *wirepb.Announce {
	return &wirepb.Announce{
		Role: roleRunner, Address: address, Service: "s", Minion: &wirepb.MinionRecord{Endpoint: "i", StartedUnixMs: startedUnixMs},
	}
}

// TestUnreadableMinionRecordsAreDropped: a member starts with a damaged file,
// without records.
func TestUnreadableMinionRecordsAreDropped(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, minionsFile), []byte{0xff, 0xff, 0xff}, 0o600))
	m := loadMinionRecords(dir)
	assert.Equal(t, len(m.records.Minions), 0)
	m.remember(announceMinion("a", 1))
	assert.Assert(t, m.changed)
}

// TestMinionRecordsAreForRunnersWithoutMinion: only a runner that does not know
// its minion is told its last one, and an announcement without a minion erases
// no record.
func TestMinionRecordsAreForRunnersWithoutMinion(t *testing.T) {
	m := loadMinionRecords(t.TempDir())
	m.remember(announceMinion("a", 1))
	m.remember(announceMinion("a", 2))
	returned := &wirepb.Announce{Role: roleRunner, Address: "a"}
	m.remember(returned)
	assert.Equal(t, m.lastMinion(returned).GetStartedUnixMs(), int64(2))
	assert.Assert(t, m.lastMinion(announceMinion("a", 2)) == nil)
	assert.Assert(t, m.lastMinion(&wirepb.Announce{Role: roleDispatcher, Address: "a"}) == nil)
	assert.Assert(t, m.lastMinion(&wirepb.Announce{Role: roleRunner, Address: "b"}) == nil)
}

// TestMinionRecordsAreBounded: when the records are full, that of the minion
// that started first makes room.
func TestMinionRecordsAreBounded(t *testing.T) {
	m := loadMinionRecords(t.TempDir())
	for i := range maxMinionRecords + 1 {
		m.remember(announceMinion(fmt.Sprint(i), int64(i+1)))
	}
	assert.Equal(t, len(m.records.Minions), maxMinionRecords)
	assert.Assert(t, m.records.Minions["0"] == nil)
	assert.Assert(t, m.records.Minions[fmt.Sprint(maxMinionRecords)] != nil)
}
