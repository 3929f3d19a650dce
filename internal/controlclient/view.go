package controlclient

import (
	"maps"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/ledger"
)

// View is the configuration at one revision. It is immutable: its maps and
// messages must not be written.
type View struct {
	// Revision is the log index of the last change in the view. It is 0 before
	// the first response of control.
	Revision uint64
	// Instances are the registered processes by incarnation, and those that
	// have ended but may still be needed by open jobs. The view of an agent
	// contains no agents.
	Instances map[uint64]*wirepb.Instance
	// Groups are the groups by number.
	Groups map[uint64]*wirepb.Group
	// Endpoints, Teams and Settings are the operators' resources by name. Their
	// specs are JSON.
	Endpoints map[string]*wirepb.Resource
	Teams     map[string]*wirepb.Resource
	Settings  map[string]*wirepb.Resource
}

// GroupEnded reports whether a group has ended: its entry has ended and none of
// its jobs is open. A message for such a group comes from a fenced owner. The
// result is false for a group newer than the view.
func (v *View) GroupEnded(group uint64) bool {
	return group <= v.Revision && v.Groups[group] == nil
}

// Live reports whether an incarnation is registered and has not ended.
func (v *View) Live(incarnation uint64) bool {
	i := v.Instances[incarnation]
	return i != nil && !i.Ended
}

// withChanges returns the view after a response with a larger revision.
func (v *View) withChanges(r *wirepb.SyncResponse) (*View, error) {
	next := &View{}
	if !r.Full {
		*next = *v
	}
	next.Revision = r.Revision
	next.cloneChangedMaps(r)
	for _, res := range r.Resources {
		if err := next.applyResource(res); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// cloneChangedMaps replaces each map that is nil or that the response changes
// by a copy. The other maps stay shared with the previous view.
func (v *View) cloneChangedMaps(r *wirepb.SyncResponse) {
	changed := map[string]bool{}
	for _, res := range r.Resources {
		changed[res.Kind] = true
	}
	v.Instances = cloneIfChanged(v.Instances, changed[ledger.KindEntry] || changed[ledger.KindAgent])
	v.Groups = cloneIfChanged(v.Groups, changed[ledger.KindGroup])
	v.Endpoints = cloneIfChanged(v.Endpoints, changed[ledger.KindEndpoint])
	v.Teams = cloneIfChanged(v.Teams, changed[ledger.KindTeam])
	v.Settings = cloneIfChanged(v.Settings, changed[ledger.KindSetting])
}

func cloneIfChanged[K comparable, V any](m map[K]V, changed bool) map[K]V {
	switch {
	case m == nil:
		return map[K]V{}
	case changed:
		return maps.Clone(m)
	default:
		return m
	}
}

// applyResource stores or removes one resource.
func (v *View) applyResource(res *wirepb.Resource) error {
	switch res.Kind {
	case ledger.KindEntry, ledger.KindAgent:
		return applyNumbered(v.Instances, res, new(wirepb.Instance))
	case ledger.KindGroup:
		return applyNumbered(v.Groups, res, new(wirepb.Group))
	case ledger.KindEndpoint:
		applyNamed(v.Endpoints, res)
	case ledger.KindTeam:
		applyNamed(v.Teams, res)
	case ledger.KindSetting:
		applyNamed(v.Settings, res)
	}
	return nil
}

func applyNamed(m map[string]*wirepb.Resource, res *wirepb.Resource) {
	if res.Deleted {
		delete(m, res.Name)
		return
	}
	m[res.Name] = res
}

func applyNumbered[M proto.Message](m map[uint64]M, res *wirepb.Resource, message M) error {
	number, err := ledger.ParseNumber(res.Name)
	if err != nil {
		return err
	}
	if res.Deleted {
		delete(m, number)
		return nil
	}
	if err := proto.Unmarshal(res.Spec, message); err != nil {
		return err
	}
	m[number] = message
	return nil
}
