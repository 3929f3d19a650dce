// Package subset decides which runners a dispatcher works with. In a small
// fleet it works with all; in a large one with a part, so that sessions and
// reports don't grow with the square of the fleet. Dispatchers choose without
// talking to each other: each ranks the runners by a hash of both names, so
// that parts overlap evenly and a runner that comes or goes changes little.
package subset

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// leastSize is the number of runners whose room balances out the differences
	// between dispatchers.
	leastSize = 32
	// leastDispatchers is how many dispatchers should work with each runner.
	leastDispatchers = 4
	// wholeFactor times the size is the largest fleet that is worked with whole.
	wholeFactor = 2
	// nearShare of a part are runners of the own availability zone.
	nearShare = 0.5
	// leastOfTrait is how many runners with each trait a part has: some jobs run
	// nowhere else.
	leastOfTrait = 4
)

// Peer is a runner that may be chosen.
type Peer struct {
	Address, Zone string
	// Service is what its minion serves; empty when it is not known yet.
	Service string
	// Traits are ways in which minions differ that jobs may ask for.
	Traits []string
}

// Size is how many runners of a service a dispatcher works with.
func Size(runners, dispatchers int) int {
	size := leastSize
	if dispatchers > 0 {
		size = max(size, (leastDispatchers*runners+dispatchers-1)/dispatchers)
	}
	if runners <= wholeFactor*size {
		return runners
	}
	return size
}

// Choose returns the runners that a dispatcher works with, by address.
func Choose(self, zone string, peers []Peer, dispatchers int) []Peer {
	var chosen []Peer
	for _, service := range services(peers) {
		chosen = append(chosen, chooseOf(self, zone, service, dispatchers)...)
	}
	slices.SortFunc(chosen, func(a, b Peer) int { return cmp.Compare(a.Address, b.Address) })
	return chosen
}

// services parts the peers by what they serve. While one service alone is known,
// runners whose minions are not known yet count as its own.
func services(peers []Peer) [][]Peer {
	parts := map[string][]Peer{}
	for _, p := range peers {
		parts[p.Service] = append(parts[p.Service], p)
	}
	unknown := parts[""]
	if len(parts) == 2 && len(unknown) > 0 {
		return [][]Peer{peers}
	}
	sorted := make([][]Peer, 0, len(parts))
	for _, service := range slices.Sorted(maps.Keys(parts)) {
		sorted = append(sorted, parts[service])
	}
	return sorted
}

// candidate is a peer with its place in the dispatcher's order.
type candidate struct {
	Peer
	rank   uint64
	chosen bool
}

// chooseOf chooses among the runners of one service.
func chooseOf(self, zone string, peers []Peer, dispatchers int) []Peer {
	size := Size(len(peers), dispatchers)
	if size == len(peers) {
		return peers
	}
	all := make([]candidate, len(peers))
	for i, p := range peers {
		all[i] = candidate{Peer: p, rank: xxhash.Sum64String(self + " " + p.Address)}
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	near := func(c *candidate) bool { return c.Zone == zone }
	left := size - take(all, int(nearShare*float64(size)), near)
	take(all, left, func(*candidate) bool { return true })
	takeTraits(all)
	var chosen []Peer
	for _, c := range all {
		if c.chosen {
			chosen = append(chosen, c.Peer)
		}
	}
	return chosen
}

// take chooses up to n candidates in order that fit, and tells how many.
func take(all []candidate, n int, fits func(*candidate) bool) (taken int) {
	for i := range all {
		if taken == n {
			break
		}
		if c := &all[i]; !c.chosen && fits(c) {
			c.chosen = true
			taken++
		}
	}
	return taken
}

// takeTraits adds candidates with traits that few of the chosen have.
func takeTraits(all []candidate) {
	held := map[string]int{}
	for _, c := range all {
		if c.chosen {
			count(held, c.Traits)
		}
	}
	for i := range all {
		c := &all[i]
		rare := slices.ContainsFunc(c.Traits, func(t string) bool { return held[t] < leastOfTrait })
		if !c.chosen && rare {
			c.chosen = true
			count(held, c.Traits)
		}
	}
}

func count(held map[string]int, traits []string) {
	for _, t := range traits {
		held[t]++
	}
}
