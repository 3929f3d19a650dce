package directory

import (
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

// TestOddEntriesOfOneMemberHideNoOthers: whatever one control member reports, the
// entries of the others hold and the newest document stays.
func TestOddEntriesOfOneMemberHideNoOthers(t *testing.T) {
	text := rapid.SampledFrom([]string{"", "r", "r\n", "\xff", "127.0.0.1:99999", "nowhere", "[::1", string(make([]byte, 10_000))})
	entry := rapid.Custom(func(t *rapid.T) *wirepb.Announce {
		return &wirepb.Announce{
			Role: rapid.SampledFrom([]string{"", "runner", "dispatcher"}).Draw(t, "role"), Name: text.Draw(t, "name"),
			Address: text.Draw(t, "address"), Service: text.Draw(t, "service"), Traits: rapid.SliceOfN(text, 0, 3).Draw(t, "traits"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		var view View
		c := Start(Options{
			Wire:     wire.Options{Hello: func() *wirepb.Hello { return &wirepb.Hello{} }, Log: logr.Discard()},
			OnChange: func(v View) { view = v }, OnLastMinion: func(*wirepb.MinionRecord) {}, Log: logr.Discard(),
		})
		defer c.Close()
		sound, odd := connected(), connected()
		c.members["sound"], c.members["odd"] = sound, odd
		truth := &wirepb.Announce{Role: "runner", Name: "true", Address: "127.0.0.1:1", Service: "s"}
		c.handleUpdate(sound, &wirepb.DirectoryUpdate{Processes: []*wirepb.Announce{truth}, Document: &wirepb.Document{Version: 9}})
		for range rapid.IntRange(1, 5).Draw(rt, "updates") {
			c.handleUpdate(odd, &wirepb.DirectoryUpdate{
				Processes: rapid.SliceOfN(entry, 0, 4).Draw(rt, "processes"), Left: rapid.SliceOfN(entry, 0, 4).Draw(rt, "left"),
				Members: rapid.SliceOfN(text, 0, 3).Draw(rt, "members"), LastMinion: &wirepb.MinionRecord{},
				Document: &wirepb.Document{Version: rapid.Uint64Range(0, 9).Draw(rt, "version")},
			})
		}
		c.notify()
		found := 0
		for _, p := range view.Processes {
			if p.Name == "true" {
				found++
			}
		}
		assert.Equal(rt, found, 1)
		assert.Equal(rt, view.Document.GetVersion(), uint64(9))
	})
}

// connected returns a member with a session.
func connected() *member {
	return &member{session: new(wire.Session), processes: map[wirepb.ProcessKey]*wirepb.Announce{}}
}
