package ledger

import (
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
)

// maxTombstones bounds the deleted resources that are remembered, so that
// processes far behind can still be sent deltas.
const maxTombstones = 4096

// resourceKey names a resource.
type resourceKey struct{ kind, name string }

// change is a place in the order of changes. It is stale when its resource has
// a larger revision by now.
type change struct {
	revision uint64
	key      resourceKey
}

// configTable holds the configuration in the order of its last changes. The
// resources are immutable; a change puts a new one.
type configTable struct {
	revision uint64
	// shared is the last revision that changed anything but an agent.
	shared uint64
	// floor is the oldest revision from which the changes are complete.
	floor   uint64
	current map[resourceKey]*wirepb.Resource
	// order has each current resource, deleted ones too, and stale places.
	order []change
	// tombstones are the deleted resources by revision, with stale places.
	tombstones []change
	deleted    int
}

func (c *configTable) init() { c.current = map[resourceKey]*wirepb.Resource{} }

// get returns a resource that exists.
func (c *configTable) get(kind, name string) *wirepb.Resource {
	res := c.current[resourceKey{kind, name}]
	if res.GetDeleted() {
		return nil
	}
	return res
}

// put makes a resource the current one at its revision, which is the largest
// so far or equal to it.
func (c *configTable) put(res *wirepb.Resource) {
	key := resourceKey{res.Kind, res.Name}
	past := c.current[key]
	if past.GetDeleted() {
		c.deleted--
	}
	c.revision = res.Revision
	if res.Kind != KindAgent {
		c.shared = res.Revision
	}
	c.current[key] = res
	place := change{res.Revision, key}
	if past.GetRevision() != res.Revision {
		c.order = append(c.order, place)
	}
	if res.Deleted {
		c.deleted++
		c.tombstones = append(c.tombstones, place)
	}
	c.trimTombstones()
	c.compact()
}

func (c *configTable) putMessage(kind, name string, revision uint64, m proto.Message) {
	spec, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // messages of this package have no invalid strings
	}
	c.put(&wirepb.Resource{Kind: kind, Name: name, Revision: revision, Spec: spec})
}

func (c *configTable) remove(kind, name string, revision uint64) {
	c.put(&wirepb.Resource{Kind: kind, Name: name, Revision: revision, Deleted: true})
}

// trimTombstones forgets the oldest deleted resources beyond the bound.
func (c *configTable) trimTombstones() {
	for c.deleted > maxTombstones {
		oldest := c.tombstones[0]
		c.tombstones = c.tombstones[1:]
		res := c.current[oldest.key]
		if res == nil || res.Revision != oldest.revision || !res.Deleted {
			continue
		}
		delete(c.current, oldest.key)
		c.deleted--
		c.floor = oldest.revision
	}
}

// compact drops stale places when they outnumber the current ones.
func (c *configTable) compact() {
	const slack = 64
	if len(c.order) <= 2*len(c.current)+slack {
		return
	}
	c.order = slices.DeleteFunc(c.order, func(p change) bool { return !c.holds(p) })
	c.tombstones = slices.DeleteFunc(c.tombstones, func(p change) bool { return !c.holds(p) })
}

func (c *configTable) holds(p change) bool {
	res := c.current[p.key]
	return res != nil && res.Revision == p.revision
}

// since returns the current form of all that changed after a revision, oldest
// change first.
func (c *configTable) since(revision uint64) []*wirepb.Resource {
	first := sort.Search(len(c.order), func(i int) bool { return c.order[i].revision > revision })
	var changes []*wirepb.Resource
	for _, p := range c.order[first:] {
		if c.holds(p) {
			changes = append(changes, c.current[p.key])
		}
	}
	return changes
}

// live returns all resources that exist, oldest change first.
func (c *configTable) live() []*wirepb.Resource {
	all := c.since(0)
	return slices.DeleteFunc(all, func(r *wirepb.Resource) bool { return r.Deleted })
}

// Revision is the log index of the last configuration change.
func (l *Ledger) Revision() uint64 { return l.config.revision }

// Changed tells whether a process has to be told of changes after a revision.
// What changed of agents alone does not concern other agents.
func (l *Ledger) Changed(after uint64, agent bool) bool {
	if agent && after >= l.config.floor && after <= l.config.revision {
		return l.config.shared > after
	}
	return l.config.revision != after
}

// Changes returns what brings a process from one revision to the present one.
// full tells that the resources replace all that the process knows; it is set
// for one that has nothing, is too far behind or is ahead. The resources must
// not be changed.
func (l *Ledger) Changes(after uint64, agent bool) (resources []*wirepb.Resource, full bool) {
	full = after == 0 || after < l.config.floor || after > l.config.revision
	if full {
		resources = l.config.live()
	} else {
		resources = l.config.since(after)
	}
	if agent {
		resources = slices.DeleteFunc(resources, func(r *wirepb.Resource) bool { return r.Kind == KindAgent })
	}
	return resources, full
}

// Resource returns a resource that exists, or nil.
func (l *Ledger) Resource(kind, name string) *wirepb.Resource { return l.config.get(kind, name) }
