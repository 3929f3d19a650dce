package entry

import (
	"context"
	"errors"
	"maps"
	"slices"

	wirepb "endivewing/api/endivewing/v1"
	apijob "endivewing/api/job"
	"endivewing/api/resource"
	"endivewing/internal/controlclient"
	"endivewing/internal/entry/httpapi"
)

// List returns the resources of a kind in force at this entry. When after is set, it
// first waits until the kind has changed after that revision or ctx ends.
func (p *Process) List(ctx context.Context, kind resource.Kind, after *uint64) *resource.List {
	s := p.snapshots.get()
	if after != nil {
		ctx, stop := context.WithCancel(ctx)
		defer stop()
		defer context.AfterFunc(p.waitsCtx, stop)()
		s = p.snapshots.waitForChange(ctx, kind, *after)
	}
	list := &resource.List{ResourceVersion: resource.FormatVersion(s.view.Revision), Items: []resource.Object{}}
	all := resourcesOf(s.view, kind)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		list.Items = append(list.Items, *p.object(s.view, all[name]))
	}
	return list
}

// ViewReady returns an error until control has confirmed a view of the configuration.
// Resources can't be read before that.
func (p *Process) ViewReady() error {
	if p.snapshots.get().view.Revision == 0 {
		return unavailableError("no confirmed configuration yet")
	}
	return nil
}

// Get returns one resource in force at this entry, or nil when there is none.
func (p *Process) Get(kind resource.Kind, name string) *resource.Object {
	view := p.snapshots.get().view
	r := resourcesOf(view, kind)[name]
	if r == nil {
		return nil
	}
	return p.object(view, r)
}

func (p *Process) object(view *controlclient.View, r *wirepb.Resource) *resource.Object {
	o := &resource.Object{
		Kind:     resource.Kind(r.Kind),
		Metadata: resource.Metadata{Name: r.Name, ResourceVersion: resource.FormatVersion(r.Revision)},
		Spec:     r.Spec,
		Status:   &resource.Status{InForce: p.follower.InForce() >= r.Revision},
	}
	if o.Kind == resource.KindEndpoint {
		o.Status.Instances = instancesOf(view, r.Name)
	}
	return o
}

// Apply changes or deletes a resource by compare-and-set.
func (p *Process) Apply(ctx context.Context, c httpapi.Change) (*resource.Object, error) {
	r := &wirepb.Resource{Kind: string(c.Kind), Name: c.Name, Spec: c.Spec, Deleted: c.Delete}
	response, err := p.control.Apply(ctx, &wirepb.ApplyRequest{
		RequestId: c.RequestID, Resource: r, ExpectedRevision: c.ExpectedRevision, AnyRevision: c.AnyVersion,
	})
	if err != nil {
		return nil, applyError(err)
	}
	inForce := response.Resource
	if response.Conflict {
		return nil, &apijob.Error{
			Code: apijob.CodeConflict, Reason: "another version is in force", Field: "metadata.resourceVersion",
			NotRun: true, ResourceVersion: resource.FormatVersion(inForce.GetRevision()),
		}
	}
	if inForce == nil {
		inForce = r
	}
	return p.object(p.snapshots.get().view, inForce), nil
}

func applyError(err error) error {
	switch {
	case errors.Is(err, controlclient.ErrInvalid):
		return &apijob.Error{Code: apijob.CodeInvalid, Reason: err.Error(), NotRun: true}
	case errors.Is(err, controlclient.ErrUnknownOutcome):
		return &apijob.Error{
			Code: apijob.CodeUnknown, Reason: "the change may or may not take effect; send it again with the same Request-Id",
			RetryAfterMs: unavailableRetryAfter.Milliseconds(),
		}
	}
	e := &apijob.Error{Code: apijob.CodeUnavailable, Reason: "control can't be reached", NotRun: true}
	e.RetryAfterMs = unavailableRetryAfter.Milliseconds()
	return e
}

// Instances returns the registered processes, sorted by incarnation.
func (p *Process) Instances() []resource.InstanceStatus {
	return instancesOf(p.snapshots.get().view, "")
}

// instancesOf returns the agents with a name that have not ended, or all instances
// when the name is empty. They are sorted by incarnation.
func instancesOf(view *controlclient.View, name string) []resource.InstanceStatus {
	list := []resource.InstanceStatus{}
	for _, incarnation := range slices.Sorted(maps.Keys(view.Instances)) {
		i := view.Instances[incarnation]
		agent := i.Kind == wirepb.InstanceKind_INSTANCE_KIND_AGENT
		if name != "" && (i.Name != name || !agent || i.Ended) {
			continue
		}
		list = append(list, instanceStatus(i, agent))
	}
	return list
}

func instanceStatus(i *wirepb.Instance, agent bool) resource.InstanceStatus {
	role := "entry"
	if agent {
		role = "agent"
	}
	return resource.InstanceStatus{
		Incarnation: i.Incarnation, Role: role, Name: i.Name, Zone: i.Zone, Address: i.Address,
		HTTPAddress: i.HttpAddress, Slots: i.Slots, Connections: i.Connections, Services: i.Services,
		Draining: i.Draining, Ended: i.Ended, Clean: i.Clean,
	}
}

// Members returns the control members.
func (p *Process) Members(ctx context.Context) (*resource.Members, error) {
	action := wirepb.MembershipAction_MEMBERSHIP_ACTION_STATUS
	response, err := p.control.Membership(ctx, &wirepb.MembershipRequest{Action: action})
	if err != nil {
		return nil, readError(err)
	}
	members := &resource.Members{Leader: response.Leader, Term: response.Term, Commit: response.Commit, Items: []resource.Member{}}
	for _, m := range response.Members {
		members.Items = append(members.Items, resource.Member{
			ID: m.Id, Name: m.Name, Address: m.Address, Zone: m.Zone, Learner: m.Learner,
		})
	}
	return members, nil
}
