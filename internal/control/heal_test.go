package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivewing/internal/quorum"
)

func TestPlanMembershipChange(t *testing.T) {
	voter := func(id uint64, address string, silentFor time.Duration) memberState {
		return memberState{id: id, address: address, silentFor: silentFor}
	}
	learner := func(id uint64, address string, silentFor time.Duration) memberState {
		return memberState{id: id, address: address, silentFor: silentFor, learner: true}
	}
	three := []memberState{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", 0)}
	oneSilent := []memberState{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", time.Minute)}
	cases := []struct {
		name    string
		members []memberState
		voters  int
		kind    quorum.ChangeKind
		member  uint64
		replace uint64
		reason  string
	}{
		{"all voters live", three, 3, 0, 0, 0, ""},
		{"silent voter without a learner to replace it", oneSilent, 3, 0, 0, 0, ""},
		{"spare learner", append(three, learner(4, "d", 0)), 3, 0, 0, 0, ""},
		{"new disk of a voter's host", append(three, learner(4, "c", 0)), 3, quorum.Promote, 4, 3, "disk_replaced"},
		{"too few voters", append(three, learner(4, "d", 0)), 5, quorum.Promote, 4, 0, "voter_missing"},
		{"silent voter", append(oneSilent, learner(4, "d", 0)), 3, quorum.Promote, 4, 3, "voter_silent"},
		{"learner silent for a short time", append(oneSilent, learner(4, "d", time.Second)), 3, 0, 0, 0, ""},
		{"learner silent for a long time", append(three, learner(4, "d", time.Minute)), 3, quorum.Remove, 4, 0, "learner_silent"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ch, reason := planMembershipChange(c.members, c.voters)
			assert.Equal(t, reason, c.reason)
			assert.Equal(t, ch.Kind, c.kind)
			assert.Equal(t, ch.Member.ID, c.member)
			assert.Equal(t, ch.Replace, c.replace)
		})
	}
}
