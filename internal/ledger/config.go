package ledger

import (
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
)

// maxTombstones limits the deleted resources that are kept so that deltas can
// be sent to processes that are far behind.
const maxTombstones = 4096

// resourceKey identifies a resource.
type resourceKey struct{ kind, name string }

// change is an entry in the list of changes. It is stale if its resource has a
// larger revision now.
type change struct {
	revision uint64
	key      resourceKey
}

// configTable holds the resources of the configuration and the order of their
// last changes. The resources are immutable: a change stores a new one.
type configTable struct {
	revision uint64
	// nonAgentRevision is the last revision that changed a resource other than
	// an agent.
	nonAgentRevision uint64
	// deltasFrom is the oldest revision from which changes can be sent. A process
	// at an older one gets all resources, because deletions after its revision may
	// have been dropped.
	deltasFrom uint64
	resources  map[resourceKey]*wirepb.Resource
	// changes lists changes of resources, deletions included, in ascending order
	// of revision. It has the last change of each resource and, until the next
	// compact, some earlier ones, which are stale.
	changes []change
	// tombstones lists those changes that deleted a resource, in the same order.
	// Some of them may be stale as well.
	tombstones   []change
	deletedCount int
}

func (c *configTable) init() { c.resources = map[resourceKey]*wirepb.Resource{} }

// get returns a resource, or nil if it does not exist.
func (c *configTable) get(kind, name string) *wirepb.Resource {
	res := c.resources[resourceKey{kind, name}]
	if res.GetDeleted() {
		return nil
	}
	return res
}

// put stores a resource under its revision, which must not be smaller than the
// largest so far.
func (c *configTable) put(res *wirepb.Resource) {
	key := resourceKey{res.Kind, res.Name}
	previous := c.resources[key]
	if previous.GetDeleted() {
		c.deletedCount--
	}
	c.revision = res.Revision
	if res.Kind != KindAgent {
		c.nonAgentRevision = res.Revision
	}
	c.resources[key] = res
	entry := change{res.Revision, key}
	if previous.GetRevision() != res.Revision {
		c.changes = append(c.changes, entry)
	}
	if res.Deleted {
		c.deletedCount++
		c.tombstones = append(c.tombstones, entry)
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

// trimTombstones drops the oldest deleted resources beyond maxTombstones.
func (c *configTable) trimTombstones() {
	for c.deletedCount > maxTombstones {
		oldest := c.tombstones[0]
		c.tombstones = c.tombstones[1:]
		res := c.resources[oldest.key]
		if res == nil || res.Revision != oldest.revision || !res.Deleted {
			continue
		}
		delete(c.resources, oldest.key)
		c.deletedCount--
		c.deltasFrom = oldest.revision
	}
}

// compact drops stale changes when they outnumber the current ones.
func (c *configTable) compact() {
	const slack = 64
	if len(c.changes) <= 2*len(c.resources)+slack {
		return
	}
	c.changes = slices.DeleteFunc(c.changes, func(e change) bool { return !c.isCurrent(e) })
	c.tombstones = slices.DeleteFunc(c.tombstones, func(e change) bool { return !c.isCurrent(e) })
}

func (c *configTable) isCurrent(e change) bool {
	res := c.resources[e.key]
	return res != nil && res.Revision == e.revision
}

// changesSince returns the current state of all resources that changed after a
// revision, oldest change first.
func (c *configTable) changesSince(revision uint64) []*wirepb.Resource {
	first := sort.Search(len(c.changes), func(i int) bool { return c.changes[i].revision > revision })
	var changes []*wirepb.Resource
	for _, e := range c.changes[first:] {
		if c.isCurrent(e) {
			changes = append(changes, c.resources[e.key])
		}
	}
	return changes
}

// liveResources returns all resources that exist, oldest change first.
func (c *configTable) liveResources() []*wirepb.Resource {
	all := c.changesSince(0)
	return slices.DeleteFunc(all, func(r *wirepb.Resource) bool { return r.Deleted })
}

// Revision returns the log index of the last configuration change.
func (l *Ledger) Revision() uint64 { return l.config.revision }

// HasChanges reports whether changes after a revision have to be sent to a
// process. agent says that the process is an agent; changes of agents alone are
// not sent to other agents.
func (l *Ledger) HasChanges(after uint64, agent bool) bool {
	if agent && after >= l.config.deltasFrom && after <= l.config.revision {
		return l.config.nonAgentRevision > after
	}
	return l.config.revision != after
}

// Changes returns the changes that bring a process from a revision to the
// present one. If full is set, the resources replace all that the process
// knows: it has nothing, is too far behind, or is ahead of this Ledger. The
// resources must not be modified.
func (l *Ledger) Changes(after uint64, agent bool) (resources []*wirepb.Resource, full bool) {
	full = after == 0 || after < l.config.deltasFrom || after > l.config.revision
	if full {
		resources = l.config.liveResources()
	} else {
		resources = l.config.changesSince(after)
	}
	if agent {
		resources = slices.DeleteFunc(resources, func(r *wirepb.Resource) bool { return r.Kind == KindAgent })
	}
	return resources, full
}

// Resource returns a resource, or nil if it does not exist.
func (l *Ledger) Resource(kind, name string) *wirepb.Resource { return l.config.get(kind, name) }
