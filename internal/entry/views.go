package entry

import (
	"context"
	"sync"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/api/resource"
	"endivewing/internal/controlclient"
)

// snapshot is a view of the configuration with the revision at which each kind of
// resource last changed.
type snapshot struct {
	view      *controlclient.View
	changedAt map[resource.Kind]uint64
	// next is closed when a newer snapshot is published.
	next chan struct{}
}

// snapshotPublisher gives HTTP goroutines the newest snapshot.
type snapshotPublisher struct {
	mu      sync.Mutex
	current *snapshot
}

func newSnapshotPublisher() *snapshotPublisher {
	empty := &snapshot{view: &controlclient.View{}, changedAt: map[resource.Kind]uint64{}, next: make(chan struct{})}
	return &snapshotPublisher{current: empty}
}

func (p *snapshotPublisher) get() *snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

func (p *snapshotPublisher) publish(view *controlclient.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.current
	next := &snapshot{view: view, changedAt: map[resource.Kind]uint64{}, next: make(chan struct{})}
	for _, kind := range resource.Kinds() {
		next.changedAt[kind] = old.changedAt[kind]
		if old.view.Revision == 0 || differ(resourcesOf(old.view, kind), resourcesOf(view, kind)) {
			next.changedAt[kind] = view.Revision
		}
	}
	p.current = next
	close(old.next)
}

// differ reports whether two sets of resources differ in a name or a revision.
func differ(a, b map[string]*wirepb.Resource) bool {
	if len(a) != len(b) {
		return true
	}
	for name, r := range a {
		if b[name] == nil || b[name].Revision != r.Revision {
			return true
		}
	}
	return false
}

// waitForChange waits for a snapshot in which the kind has changed after the given
// revision. It returns the newest snapshot when ctx ends first.
func (p *snapshotPublisher) waitForChange(ctx context.Context, kind resource.Kind, revision uint64) *snapshot {
	for {
		s := p.get()
		if s.changedAt[kind] > revision {
			return s
		}
		select {
		case <-s.next:
		case <-ctx.Done():
			return s
		}
	}
}

func resourcesOf(v *controlclient.View, kind resource.Kind) map[string]*wirepb.Resource {
	switch kind {
	case resource.KindEndpoint:
		return v.Endpoints
	case resource.KindTeam:
		return v.Teams
	case resource.KindSetting:
		return v.Settings
	}
	return nil
}
