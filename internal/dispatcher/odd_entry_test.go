package dispatcher

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/fleetconfig"
	"endivewing/internal/runner"
)

// TestOddEntriesDoNotReplaceRunners: whatever stands in the list beside them, the
// runners of a small fleet are all dialed, and the document in force stays.
func TestOddEntriesDoNotReplaceRunners(t *testing.T) {
	text := rapid.SampledFrom([]string{"", "s", "r\n", "\xff", "127.0.0.1:99999", string(make([]byte, 10_000))})
	rapid.Check(t, func(rt *rapid.T) {
		p := testProcess("d")
		p.links.connect = pendingConnects{make(chan struct{}, 1000)}.connect
		defer p.links.close()
		list := announcements(8)
		for range rapid.IntRange(1, 6).Draw(rt, "odd") {
			list = append(list, &wirepb.Announce{
				Role: rapid.SampledFrom([]string{"", Role, runner.Role}).Draw(rt, "role"), Name: text.Draw(rt, "name"), Zone: text.Draw(rt, "zone"),
				Address: text.Draw(rt, "address"), Service: text.Draw(rt, "service"), Traits: rapid.SliceOfN(text, 0, 3).Draw(rt, "traits"),
			})
		}
		p.links.update(rapid.Permutation(list).Draw(rt, "list"))
		for _, a := range announcements(8) {
			if a.Role == runner.Role {
				assert.Assert(rt, p.links.byAddress[a.Address] != nil, a.Address)
			}
		}
	})
}

// TestDocumentThatCannotBeDecodedLeavesTheOneInForce: an odd document is logged, and a
// later one takes effect.
func TestDocumentThatCannotBeDecodedLeavesTheOneInForce(t *testing.T) {
	p := testProcess("d")
	p.opts.Decode = func(body []byte) (*fleetconfig.Document, error) {
		version, err := strconv.ParseUint(string(body), 10, 64)
		return &fleetconfig.Document{Version: version}, err
	}
	p.applyDocument(&wirepb.Document{Version: 3, Body: []byte("3")})
	p.applyDocument(&wirepb.Document{Version: 1<<64 - 1, Body: []byte("odd")})
	assert.Equal(t, p.Version(), uint64(3))
	p.applyDocument(&wirepb.Document{Version: 4, Body: []byte("4")})
	assert.Equal(t, p.Version(), uint64(4))
}
