package control

import (
	"time"

	"endivewing/internal/quorum"
)

const (
	// maxVoterSilence is how long a voter may be silent before a learner
	// replaces it. It is longer than a restart or a short network outage.
	maxVoterSilence = 3 * time.Second
	// maxLearnerSilence is how long a learner may be silent before it is
	// removed.
	maxLearnerSilence = 10 * time.Second
)

// memberActivity holds the time at which the leader last heard from each member.
type memberActivity struct{ lastHeard map[uint64]time.Time }

func (a *memberActivity) init() { a.lastHeard = map[uint64]time.Time{} }

// memberState is the state of one member for planMembershipChange.
type memberState struct {
	id      uint64
	address string
	learner bool
	// silentFor is the time since the leader last heard from the member; 0 for
	// a live member.
	silentFor time.Duration
}

// healMembership proposes the next change that brings the membership closer to
// Options.Voters live voters.
func (l *loop) healMembership(now time.Time) {
	if l.opts.Voters == 0 || l.core.Status().Membership.Joint() {
		return
	}
	ch, reason := planMembershipChange(l.memberStates(now), l.opts.Voters)
	if reason == "" {
		return
	}
	if _, err := l.core.ProposeChange(ch); err != nil {
		l.opts.Log.V(1).Info("membership change refused", "member", ch.Member.ID, "error", err.Error())
		return
	}
	l.opts.Log.Info("membership changes", "reason", reason, "member", ch.Member.ID, "replaces", ch.Replace)
	l.updateMembers()
}

// memberStates returns the state of all members, as seen by this leader.
func (l *loop) memberStates(now time.Time) []memberState {
	status := l.core.Status()
	for _, peer := range status.Peers {
		if peer.Live || l.memberActivity.lastHeard[peer.ID].IsZero() {
			l.memberActivity.lastHeard[peer.ID] = now
		}
	}
	var states []memberState
	for _, m := range l.members {
		state := memberState{id: m.ID, address: m.Address, learner: status.Membership.IsLearner(m.ID)}
		if m.ID != l.opts.ID {
			state.silentFor = now.Sub(l.memberActivity.lastHeard[m.ID])
		}
		states = append(states, state)
	}
	return states
}

// planMembershipChange chooses at most one change. It goes through the learners
// in order. A learner that has been silent for longer than maxLearnerSilence is
// removed; one that has been silent for a shorter time is skipped. A live
// learner at the address of a voter runs on the new disk of that voter's host
// and replaces the voter. Any other live learner is promoted if there are fewer
// voters than wanted, or else replaces a silent voter. The reason is empty if no
// change is needed.
func planMembershipChange(members []memberState, voters int) (ch quorum.Change, reason string) {
	count := 0
	for _, m := range members {
		if !m.learner {
			count++
		}
	}
	for _, m := range members {
		if !m.learner {
			continue
		}
		if m.silentFor > maxLearnerSilence {
			return quorum.Change{Kind: quorum.Remove, Member: quorum.Member{ID: m.id}}, "learner_silent"
		}
		if m.silentFor > 0 {
			continue
		}
		promote := quorum.Change{Kind: quorum.Promote, Member: quorum.Member{ID: m.id}}
		if promote.Replace = voterAtAddress(members, m.address); promote.Replace != 0 {
			return promote, "disk_replaced"
		}
		if count < voters {
			return promote, "voter_missing"
		}
		if promote.Replace = silentVoter(members); promote.Replace != 0 {
			return promote, "voter_silent"
		}
	}
	return quorum.Change{}, ""
}

// voterAtAddress returns the ID of the voter at an address, or 0.
func voterAtAddress(members []memberState, address string) uint64 {
	for _, m := range members {
		if !m.learner && m.address == address {
			return m.id
		}
	}
	return 0
}

// silentVoter returns the ID of a voter that has been silent for longer than
// maxVoterSilence, or 0.
func silentVoter(members []memberState) uint64 {
	for _, m := range members {
		if !m.learner && m.silentFor > maxVoterSilence {
			return m.id
		}
	}
	return 0
}
