package control

import (
	"time"

	"endivewing/internal/quorum"
)

const (
	// voterSilence is how long a voter may be silent before a learner takes its
	// place: longer than a restart or a short cut.
	voterSilence = 3 * time.Second
	// learnerSilence is how long a learner may be silent before it is removed.
	learnerSilence = 10 * time.Second
)

// healing is when the leader last heard each member.
type healing struct{ heard map[uint64]time.Time }

func (h *healing) init() { h.heard = map[uint64]time.Time{} }

// memberView is what a decision on the membership reads of one member.
type memberView struct {
	id      uint64
	address string
	learner bool
	silent  time.Duration
}

// heal proposes the next change that brings the membership to the wanted
// number of live voters.
func (l *loop) heal(now time.Time) {
	if l.opts.Voters == 0 || l.core.Status().Membership.Joint() {
		return
	}
	ch, reason := planHealing(l.memberViews(now), l.opts.Voters)
	if reason == "" {
		return
	}
	if _, err := l.core.ProposeChange(ch); err != nil {
		l.opts.Log.V(1).Info("membership change refused", "member", ch.Member.ID, "error", err.Error())
		return
	}
	l.opts.Log.Info("membership changes", "reason", reason, "member", ch.Member.ID, "replaces", ch.Replace)
	l.linkMembers()
}

func (l *loop) memberViews(now time.Time) []memberView {
	status := l.core.Status()
	for _, peer := range status.Peers {
		if peer.Live || l.healing.heard[peer.ID].IsZero() {
			l.healing.heard[peer.ID] = now
		}
	}
	var views []memberView
	for _, m := range l.members {
		v := memberView{id: m.ID, address: m.Address, learner: status.Membership.IsLearner(m.ID)}
		if m.ID != l.opts.ID {
			v.silent = now.Sub(l.healing.heard[m.ID])
		}
		views = append(views, v)
	}
	return views
}

// planHealing chooses one change: a learner at the address of a voter has that
// host's new disk and replaces it; then learners fill up the voters, replace
// silent ones, and silent learners go. The reason is empty for no change.
func planHealing(members []memberView, voters int) (ch quorum.Change, reason string) {
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
		if m.silent > learnerSilence {
			return quorum.Change{Kind: quorum.Remove, Member: quorum.Member{ID: m.id}}, "learner_silent"
		}
		if m.silent > 0 {
			continue
		}
		promote := quorum.Change{Kind: quorum.Promote, Member: quorum.Member{ID: m.id}}
		if promote.Replace = voterAt(members, m.address); promote.Replace != 0 {
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

func voterAt(members []memberView, address string) uint64 {
	for _, m := range members {
		if !m.learner && m.address == address {
			return m.id
		}
	}
	return 0
}

func silentVoter(members []memberView) uint64 {
	for _, m := range members {
		if !m.learner && m.silent > voterSilence {
			return m.id
		}
	}
	return 0
}
