package quorum

import (
	"testing"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
)

// withLearner returns a cluster of three voters and learner 4, and its leader.
func withLearner(t *testing.T) (*cluster, *host) {
	t.Helper()
	c := newCluster(t, 3)
	lead := c.elect()
	_, err := lead.core.ProposeChange(Change{Kind: AddLearner, Member: Member{ID: 4, Context: []byte("host")}})
	assert.NilError(t, err)
	c.add(4, Membership{})
	c.drain(lead)
	c.tick(3 * testHeartbeatTicks)
	return c, lead
}

func TestFailedVoterIsReplaced(t *testing.T) {
	c, lead := withLearner(t)
	failed := lead.id%3 + 1
	c.crash(c.hosts[failed], 0)
	c.propose(lead, []byte("a"))
	c.snapshot(lead, 0)
	_, err := lead.core.ProposeChange(Change{Kind: Promote, Member: Member{ID: 4}, Replace: failed})
	assert.NilError(t, err)
	c.drain(lead)
	c.settle()
	current := lead.core.Membership()
	assert.Assert(t, !current.Joint() && current.IsVoter(4) && !current.IsVoter(failed))
	m, _ := current.find(4)
	assert.Equal(t, string(m.Context), "host")
	assert.Equal(t, c.hosts[4].core.Status().Role, "follower")

	// If a second voter fails right after the change, the other two continue.
	c.crash(lead, 0)
	next := c.elect()
	index := c.propose(next, []byte("b"))
	assert.Equal(t, next.app.applied, index)
}

func TestRemovedLeaderHandsOver(t *testing.T) {
	c, lead := withLearner(t)
	_, err := lead.core.ProposeChange(Change{Kind: Promote, Member: Member{ID: 4}, Replace: lead.id})
	assert.NilError(t, err)
	c.drain(lead)
	c.settle()
	assert.Equal(t, lead.core.Status().Role, "learner")
	next := c.leader()
	assert.Assert(t, next != nil, "the new leader is elected without an election timeout")
	c.propose(next, []byte("a"))
}

func TestInvalidChangesAreRefused(t *testing.T) {
	cases := map[string]struct {
		before func(c *cluster, lead *host)
		change Change
		want   error
	}{
		"member exists":    {nil, Change{Kind: AddLearner, Member: Member{ID: 4}}, ErrMemberExists},
		"unknown learner":  {nil, Change{Kind: Promote, Member: Member{ID: 9}}, ErrUnknownMember},
		"promoted voter":   {nil, Change{Kind: Promote, Member: Member{ID: 1}}, ErrMemberExists},
		"unknown removed":  {nil, Change{Kind: Remove, Member: Member{ID: 9}}, ErrUnknownMember},
		"unknown replaced": {nil, Change{Kind: Promote, Member: Member{ID: 4}, Replace: 9}, ErrUnknownMember},
		"change not committed": {
			func(c *cluster, lead *host) {
				_, _ = lead.core.ProposeChange(Change{Kind: AddLearner, Member: Member{ID: 5}})
			},
			Change{Kind: AddLearner, Member: Member{ID: 6}}, ErrChangeInProgress,
		},
		"joint": {
			func(c *cluster, lead *host) {
				_, _ = lead.core.ProposeChange(Change{Kind: Remove, Member: Member{ID: lead.id%3 + 1}})
			},
			Change{Kind: Remove, Member: Member{ID: 4}}, ErrChangeInProgress,
		},
		"transfer": {
			func(c *cluster, lead *host) { lead.core.TransferLeader(0) },
			Change{Kind: Remove, Member: Member{ID: 4}}, ErrTransferring,
		},
		"term not committed": {
			func(c *cluster, lead *host) { lead.core.lead.termStart = lead.core.commit + 1 },
			Change{Kind: Remove, Member: Member{ID: 4}}, ErrTermNotCommitted,
		},
		"learner silent": {
			func(c *cluster, _ *host) { c.crash(c.hosts[4], 0); c.tick(testElectionTicks) },
			Change{Kind: Promote, Member: Member{ID: 4}}, ErrNotCaughtUp,
		},
		"learner behind": {
			func(c *cluster, lead *host) {
				c.partitioned = func(_, to uint64) bool { return to == 4 }
				c.propose(lead, []byte("a"))
				c.tick(2 * testHeartbeatTicks)
			},
			Change{Kind: Promote, Member: Member{ID: 4}}, ErrNotCaughtUp,
		},
		"no live quorum": {
			func(c *cluster, lead *host) { c.crash(c.hosts[lead.id%3+1], 0); c.tick(testElectionTicks - 1) },
			Change{Kind: Remove, Member: Member{ID: 0}}, ErrUnsafeChange,
		},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			c, lead := withLearner(t)
			if x.before != nil {
				x.before(c, lead)
			}
			if x.change.Member.ID == 0 {
				x.change.Member.ID = (lead.id+1)%3 + 1
			}
			last := lead.core.log.last()
			_, err := lead.core.ProposeChange(x.change)
			assert.ErrorIs(t, err, x.want)
			assert.Equal(t, lead.core.log.last(), last)
		})
	}
}

// TestReplacedConfigurationIsNoLongerInForce checks that a configuration is in
// force once it is in the log, and no longer once an entry of another leader
// replaces it there.
func TestReplacedConfigurationIsNoLongerInForce(t *testing.T) {
	c := newSingleCore(t)
	before := c.Membership()
	entry := &wirepb.Entry{
		Index: 3, Term: 4, Kind: wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP, Membership: voters(2, 3, 4).Proto(),
	}
	step(t, c, 2, 4, appendMessage(&wirepb.AppendRequest{PrevIndex: 2, PrevTerm: 2, Entries: []*wirepb.Entry{entry}}))
	assert.Assert(t, !c.Membership().IsVoter(1))
	assert.Assert(t, c.canCampaign(), "the removal is not committed")
	step(t, c, 3, 5, appendMessage(&wirepb.AppendRequest{PrevIndex: 2, PrevTerm: 2, Entries: []*wirepb.Entry{{Index: 3, Term: 5}}}))
	assert.DeepEqual(t, c.Membership(), before)
}
