package quorum

import (
	"slices"

	wirepb "endivewing/api/endivewing/v1"
)

// Member is one member of a configuration.
type Member struct {
	ID      uint64
	Learner bool
	// Context is opaque to the core.
	Context []byte
}

// Membership is a configuration of the cluster. If Outgoing is not empty, the
// configuration is joint: elections and commits need a majority of Voters and
// one of Outgoing.
type Membership struct {
	Voters, Outgoing, Learners []Member
}

// Joint reports whether the configuration is a joint one, in force during a
// change of voters.
func (m Membership) Joint() bool { return len(m.Outgoing) > 0 }

// IsVoter reports whether a member is a voter, in Voters or Outgoing.
func (m Membership) IsVoter(id uint64) bool {
	return contains(m.Voters, id) || contains(m.Outgoing, id)
}

// IsLearner reports whether a member is a learner.
func (m Membership) IsLearner(id uint64) bool { return contains(m.Learners, id) }

// Members returns every member once, ordered by ID.
func (m Membership) Members() []Member {
	all := slices.Concat(m.Voters, m.Outgoing, m.Learners)
	slices.SortStableFunc(all, func(a, b Member) int { return compare(a.ID, b.ID) })
	return slices.CompactFunc(all, func(a, b Member) bool { return a.ID == b.ID })
}

// find returns the member with an ID.
func (m Membership) find(id uint64) (Member, bool) {
	all := m.Members()
	i := slices.IndexFunc(all, func(x Member) bool { return x.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return all[i], true
}

// quorum reports whether the members for which yes returns true form a quorum.
func (m Membership) quorum(yes func(id uint64) bool) bool {
	return majority(m.Voters, yes) && (!m.Joint() || majority(m.Outgoing, yes))
}

// quorumIndex returns the largest index that a quorum has reached.
func (m Membership) quorumIndex(match func(id uint64) uint64) uint64 {
	index := majorityMatch(m.Voters, match)
	if m.Joint() {
		index = min(index, majorityMatch(m.Outgoing, match))
	}
	return index
}

func majority(voters []Member, yes func(id uint64) bool) bool {
	n := 0
	for _, v := range voters {
		if yes(v.ID) {
			n++
		}
	}
	return n > len(voters)/2
}

// majorityMatch returns the largest index that a majority has reached. Without
// voters it returns 0, so that an empty configuration commits nothing.
func majorityMatch(voters []Member, match func(id uint64) uint64) uint64 {
	if len(voters) == 0 {
		return 0
	}
	var buf [8]uint64
	all := buf[:0]
	for _, v := range voters {
		all = append(all, match(v.ID))
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

func contains(members []Member, id uint64) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id })
}

func without(members []Member, id uint64) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == id })
}

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Proto returns the configuration as a protobuf message.
func (m Membership) Proto() *wirepb.QuorumMembership {
	return &wirepb.QuorumMembership{
		Voters:   toProto(m.Voters),
		Outgoing: toProto(m.Outgoing),
		Learners: toProto(m.Learners),
	}
}

// MembershipOf converts a protobuf message to a configuration.
func MembershipOf(p *wirepb.QuorumMembership) Membership {
	return Membership{
		Voters:   fromProto(p.GetVoters(), false),
		Outgoing: fromProto(p.GetOutgoing(), false),
		Learners: fromProto(p.GetLearners(), true),
	}
}

func toProto(members []Member) []*wirepb.QuorumMember {
	var out []*wirepb.QuorumMember
	for _, m := range members {
		out = append(out, &wirepb.QuorumMember{Id: m.ID, Context: m.Context})
	}
	return out
}

func fromProto(members []*wirepb.QuorumMember, learner bool) []Member {
	var out []Member
	for _, m := range members {
		out = append(out, Member{ID: m.Id, Learner: learner, Context: m.Context})
	}
	return out
}
