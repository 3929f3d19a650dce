package control

import (
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	wirepb "endivewing/api/endivewing/v1"
)

// drawAnnounce draws an announcement in which any part may be odd.
func drawAnnounce(t *rapid.T) *wirepb.Announce {
	text := rapid.SampledFrom([]string{"", "a", "i\n1", "1.2.3.4:99999", string(make([]byte, 10_000))})
	start := rapid.SampledFrom([]int64{0, -1, 5, 1<<63 - 1, -1 << 63})
	a := &wirepb.Announce{
		Role: rapid.SampledFrom([]string{"", roleRunner, roleDispatcher}).Draw(t, "role"), Name: text.Draw(t, "name"),
		Address: text.Draw(t, "address"), Service: text.Draw(t, "service"), Traits: rapid.SliceOfN(text, 0, 3).Draw(t, "traits"),
		KnownVersion: rapid.Uint64().Draw(t, "version"), Watches: rapid.Uint32().Draw(t, "watches"),
	}
	if rapid.Bool().Draw(t, "minion") {
		a.Minion = &wirepb.MinionRecord{Endpoint: text.Draw(t, "endpoint"), StartedUnixMs: start.Draw(t, "start"), Sequence: rapid.Uint64().Draw(t, "sequence")}
	}
	return a
}

// TestOddAnnouncementsLeaveTheRecordsUsable: whatever processes announce, the records
// can be written and read back, and a true one is remembered.
func TestOddAnnouncementsLeaveTheRecordsUsable(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(rt *rapid.T) {
		m := loadMinionRecords(dir)
		for range rapid.IntRange(1, 30).Draw(rt, "announcements") {
			a := drawAnnounce(rt)
			m.remember(a)
			m.lastMinion(a)
			if rapid.Bool().Draw(rt, "drop") {
				m.dropOldest()
			}
		}
		m.remember(announceMinion("true", 7))
		text, err := proto.Marshal(m.records)
		assert.NilError(rt, err)
		assert.NilError(rt, os.WriteFile(filepath.Join(dir, minionsFile), text, 0o600))
		again := loadMinionRecords(dir)
		assert.Equal(rt, again.lastMinion(&wirepb.Announce{Role: roleRunner, Address: "true"}).GetStartedUnixMs(), int64(7))
	})
}

// TestAnyBytesInTheFileOfRecordsAreBorne: a member starts with whatever its file holds.
func TestAnyBytesInTheFileOfRecordsAreBorne(t *testing.T) {
	dir := t.TempDir()
	whole, err := proto.Marshal(&wirepb.MinionRecords{Minions: map[string]*wirepb.MinionRecord{"a": {Endpoint: "i", StartedUnixMs: 5}}})
	assert.NilError(t, err)
	rapid.Check(t, func(rt *rapid.T) {
		data := append([]byte(nil), whole...)
		for range rapid.IntRange(0, 4).Draw(rt, "changes") {
			data[rapid.IntRange(0, len(data)-1).Draw(rt, "at")] = rapid.Byte().Draw(rt, "byte")
		}
		data = data[:rapid.IntRange(0, len(data)).Draw(rt, "length")]
		assert.NilError(rt, os.WriteFile(filepath.Join(dir, minionsFile), data, 0o600))
		m := loadMinionRecords(dir)
		m.remember(announceMinion("b", 1))
		m.dropOldest()
		_, err := proto.Marshal(m.records)
		assert.NilError(rt, err)
	})
}
