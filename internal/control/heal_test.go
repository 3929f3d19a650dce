package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivewing/internal/quorum"
)

func TestPlanHealing(t *testing.T) {
	voter := func(id uint64, address string, silent time.Duration) memberView {
		return memberView{id: id, address: address, silent: silent}
	}
	learner := func(id uint64, address string, silent time.Duration) memberView {
		return memberView{id: id, address: address, silent: silent, learner: true}
	}
	three := []memberView{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", 0)}
	oneSilent := []memberView{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", time.Minute)}
	cases := []struct {
		name    string
		members []memberView
		voters  int
		kind    quorum.ChangeKind
		member  uint64
		replace uint64
		reason  string
	}{
		{"all well", three, 3, 0, 0, 0, ""},
		{"silent voter and nobody to replace it", oneSilent, 3, 0, 0, 0, ""},
		{"spare learner", append(three, learner(4, "d", 0)), 3, 0, 0, 0, ""},
		{"new disk of a voter's host", append(three, learner(4, "c", 0)), 3, quorum.Promote, 4, 3, "disk_replaced"},
		{"too few voters", append(three, learner(4, "d", 0)), 5, quorum.Promote, 4, 0, "voter_missing"},
		{"silent voter", append(oneSilent, learner(4, "d", 0)), 3, quorum.Promote, 4, 3, "voter_silent"},
		{"learner that went silent a moment ago", append(oneSilent, learner(4, "d", time.Second)), 3, 0, 0, 0, ""},
		{"learner that is gone", append(three, learner(4, "d", time.Minute)), 3, quorum.Remove, 4, 0, "learner_silent"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ch, reason := planHealing(c.members, c.voters)
			assert.Equal(t, reason, c.reason)
			assert.Equal(t, ch.Kind, c.kind)
			assert.Equal(t, ch.Member.ID, c.member)
			assert.Equal(t, ch.Replace, c.replace)
		})
	}
}
