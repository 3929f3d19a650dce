package controlclient

import (
	"maps"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/ledger"
)

// View is the configuration at one revision. It never changes once published;
// its maps and messages must not be written.
type View struct {
	// Revision is the log index of the last change in the view; 0 before the
	// first answer of control.
	Revision uint64
	// Instances are the registered processes by incarnation, with those ended
	// ones that open jobs may still need. An agent's view has no agents.
	Instances map[uint64]*wirepb.Instance
	// Groups are the groups by number.
	Groups map[uint64]*wirepb.Group
	// Endpoints, Teams and Settings are the operators' resources by name; their
	// specs are JSON.
	Endpoints map[string]*wirepb.Resource
	Teams     map[string]*wirepb.Resource
	Settings  map[string]*wirepb.Resource
}

// GroupEnded tells that a group is over: its entry has ended and none of its
// jobs is open. A message for it comes from a fenced owner. It is false for a
// group newer than the view.
func (v *View) GroupEnded(group uint64) bool {
	return group <= v.Revision && v.Groups[group] == nil
}

// Live tells that an incarnation is registered and has not ended.
func (v *View) Live(incarnation uint64) bool {
	i := v.Instances[incarnation]
	return i != nil && !i.Ended
}

// next returns the view after an answer of control with a larger revision.
func (v *View) next(r *wirepb.SyncResponse) (*View, error) {
	n := &View{}
	if !r.Full {
		*n = *v
	}
	n.Revision = r.Revision
	n.copyMaps(r)
	for _, res := range r.Resources {
		if err := n.put(res); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// copyMaps gives the view its own copy of each map that is nil or that the
// response touches; the others stay shared.
func (v *View) copyMaps(r *wirepb.SyncResponse) {
	touched := map[string]bool{}
	for _, res := range r.Resources {
		touched[res.Kind] = true
	}
	v.Instances = copied(v.Instances, touched[ledger.KindInstance] || touched[ledger.KindAgent])
	v.Groups = copied(v.Groups, touched[ledger.KindGroup])
	v.Endpoints = copied(v.Endpoints, touched[ledger.KindEndpoint])
	v.Teams = copied(v.Teams, touched[ledger.KindTeam])
	v.Settings = copied(v.Settings, touched[ledger.KindSetting])
}

func copied[K comparable, V any](m map[K]V, touched bool) map[K]V {
	switch {
	case m == nil:
		return map[K]V{}
	case touched:
		return maps.Clone(m)
	default:
		return m
	}
}

func (v *View) put(res *wirepb.Resource) error {
	switch res.Kind {
	case ledger.KindInstance, ledger.KindAgent:
		return putNumbered(v.Instances, res, new(wirepb.Instance))
	case ledger.KindGroup:
		return putNumbered(v.Groups, res, new(wirepb.Group))
	case ledger.KindEndpoint:
		putNamed(v.Endpoints, res)
	case ledger.KindTeam:
		putNamed(v.Teams, res)
	case ledger.KindSetting:
		putNamed(v.Settings, res)
	}
	return nil
}

func putNamed(m map[string]*wirepb.Resource, res *wirepb.Resource) {
	if res.Deleted {
		delete(m, res.Name)
		return
	}
	m[res.Name] = res
}

func putNumbered[M proto.Message](m map[uint64]M, res *wirepb.Resource, into M) error {
	number, err := ledger.ParseNumber(res.Name)
	if err != nil {
		return err
	}
	if res.Deleted {
		delete(m, number)
		return nil
	}
	if err := proto.Unmarshal(res.Spec, into); err != nil {
		return err
	}
	m[number] = into
	return nil
}
