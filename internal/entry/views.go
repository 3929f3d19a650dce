package entry

import (
	"context"
	"sync"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/api/resource"
	"endivewing/internal/controlclient"
)

// snapshot is a view with the revision at which each kind last changed.
type snapshot struct {
	view    *controlclient.View
	changed map[resource.Kind]uint64
	// next is closed when a newer snapshot is published.
	next chan struct{}
}

// views publishes the newest snapshot to HTTP goroutines.
type views struct {
	mu      sync.Mutex
	current *snapshot
}

func newViews() *views {
	empty := &snapshot{view: &controlclient.View{}, changed: map[resource.Kind]uint64{}, next: make(chan struct{})}
	return &views{current: empty}
}

func (v *views) get() *snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current
}

func (v *views) set(view *controlclient.View) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.current
	next := &snapshot{view: view, changed: map[resource.Kind]uint64{}, next: make(chan struct{})}
	for _, kind := range resource.Kinds() {
		next.changed[kind] = old.changed[kind]
		if old.view.Revision == 0 || differ(resourcesOf(old.view, kind), resourcesOf(view, kind)) {
			next.changed[kind] = view.Revision
		}
	}
	v.current = next
	close(old.next)
}

// differ tells whether two sets of resources differ in a name or a revision.
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

// after waits for a snapshot in which the kind has changed after a revision;
// the newest one when ctx ends first.
func (v *views) after(ctx context.Context, kind resource.Kind, revision uint64) *snapshot {
	for {
		s := v.get()
		if s.changed[kind] > revision {
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
