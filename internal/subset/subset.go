// Package subset chooses the runners that a dispatcher works with. In a small
// fleet these are all runners; in a large one they are a subset, so that
// sessions and reports don't grow with the square of the fleet. Dispatchers
// choose without communication: each ranks the runners by a hash of its own
// name and the runner's address, so that subsets overlap evenly and a runner
// that comes or goes changes little.
package subset

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minSize is the smallest subset of a large fleet. The capacity of that
	// many runners evens out the differences between dispatchers.
	minSize = 32
	// minDispatchersPerRunner is how many dispatchers should work with each
	// runner, on average.
	minDispatchersPerRunner = 4
	// fullFleetFactor times the subset size is the largest fleet in which a
	// dispatcher works with all runners.
	fullFleetFactor = 2
	// sameZoneShare is the share of the subset that is chosen from the
	// dispatcher's availability zone, if it has enough runners.
	sameZoneShare = 0.5
	// minRunnersPerTrait is the minimum number of runners with each trait in a
	// subset, since some jobs can only run there.
	minRunnersPerTrait = 4
)

// Peer is a runner that may be chosen.
type Peer struct {
	Address, Zone string
	// Service is the service of its minion; empty when it is not known yet.
	Service string
	// Traits are properties of the minion that jobs may ask for.
	Traits []string
}

// Size returns how many runners of a service a dispatcher works with. Choose
// may add runners with rare traits.
func Size(runners, dispatchers int) int {
	size := minSize
	if dispatchers > 0 {
		size = max(size, (minDispatchersPerRunner*runners+dispatchers-1)/dispatchers)
	}
	if runners <= fullFleetFactor*size {
		return runners
	}
	return size
}

// Choose returns the runners that a dispatcher works with, sorted by address.
// self is the dispatcher's name, zone its availability zone, and dispatchers
// the number of dispatchers in the fleet.
func Choose(self, zone string, peers []Peer, dispatchers int) []Peer {
	var chosen []Peer
	for _, service := range groupByService(peers) {
		chosen = append(chosen, chooseFromService(self, zone, service, dispatchers)...)
	}
	slices.SortFunc(chosen, func(a, b Peer) int { return cmp.Compare(a.Address, b.Address) })
	return chosen
}

// groupByService splits the peers by service. While only one service is known,
// runners whose minions are not known yet count as runners of that service.
func groupByService(peers []Peer) [][]Peer {
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

// candidate is a peer with its rank for the dispatcher.
type candidate struct {
	Peer
	rank   uint64
	chosen bool
}

// chooseFromService chooses among the runners of one service.
func chooseFromService(self, zone string, peers []Peer, dispatchers int) []Peer {
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
	remaining := size - chooseFirst(all, int(sameZoneShare*float64(size)), near)
	chooseFirst(all, remaining, func(*candidate) bool { return true })
	addRareTraits(all)
	var chosen []Peer
	for _, c := range all {
		if c.chosen {
			chosen = append(chosen, c.Peer)
		}
	}
	return chosen
}

// chooseFirst chooses up to n candidates that fit, in the order of their ranks,
// and returns how many it chose.
func chooseFirst(all []candidate, n int, fits func(*candidate) bool) (added int) {
	for i := range all {
		if added == n {
			break
		}
		if c := &all[i]; !c.chosen && fits(c) {
			c.chosen = true
			added++
		}
	}
	return added
}

// addRareTraits adds candidates with traits that few of the chosen ones have.
func addRareTraits(all []candidate) {
	counts := map[string]int{}
	for _, c := range all {
		if c.chosen {
			countTraits(counts, c.Traits)
		}
	}
	for i := range all {
		c := &all[i]
		rare := slices.ContainsFunc(c.Traits, func(t string) bool { return counts[t] < minRunnersPerTrait })
		if !c.chosen && rare {
			c.chosen = true
			countTraits(counts, c.Traits)
		}
	}
}

func countTraits(counts map[string]int, traits []string) {
	for _, t := range traits {
		counts[t]++
	}
}
