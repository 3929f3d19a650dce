package wire

import (
	"reflect"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"

	wirepb "endivewing/api/endivewing/v1"
)

// meter counts messages and bytes by message kind. The counters of a kind are
// created once.
type meter struct {
	scope tally.Scope

	mu     sync.RWMutex
	byKind map[reflect.Type]kindCounters
}

type kindCounters struct {
	sent, sentBytes, received tally.Counter
}

func newMeter(scope tally.Scope) *meter {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &meter{scope: scope.SubScope("wire"), byKind: map[reflect.Type]kindCounters{}}
}

func (m *meter) sent(e *wirepb.Envelope, bytes int) {
	c := m.counters(e)
	c.sent.Inc(1)
	c.sentBytes.Inc(int64(bytes))
}

func (m *meter) received(e *wirepb.Envelope) { m.counters(e).received.Inc(1) }

func (m *meter) sentHeartbeat() {
	m.scope.Tagged(map[string]string{"kind": "heartbeat"}).Counter("sent").Inc(1)
}

func (m *meter) dropped(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("dropped").Inc(1)
}

func (m *meter) counters(e *wirepb.Envelope) kindCounters {
	kind := reflect.TypeOf(e.Body)
	m.mu.RLock()
	c, ok := m.byKind[kind]
	m.mu.RUnlock()
	if ok {
		return c
	}
	tagged := m.scope.Tagged(map[string]string{"kind": kindName(kind)})
	c = kindCounters{
		sent:      tagged.Counter("sent"),
		sentBytes: tagged.Counter("sent_bytes"),
		received:  tagged.Counter("received"),
	}
	m.mu.Lock()
	m.byKind[kind] = c
	m.mu.Unlock()
	return c
}

// kindName turns the generated type name *wirepb.Envelope_StartTask into
// "StartTask".
func kindName(kind reflect.Type) string {
	if kind == nil {
		return "empty"
	}
	_, name, _ := strings.Cut(kind.Elem().Name(), "_")
	return name
}
