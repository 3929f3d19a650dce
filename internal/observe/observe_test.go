package observe

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestDebugServerShowsStateAndMetrics(t *testing.T) {
	m := NewMetrics(map[string]string{"process": "p"})
	m.Scope.Counter("seen").Inc(3)
	m.Close()
	d, err := StartDebug("127.0.0.1:0", func() any { return map[string]int{"jobs": 2} }, m)
	assert.NilError(t, err)
	defer d.Stop(context.Background())
	assert.Assert(t, bytes.Contains(get(t, d, "/debug/state"), []byte(`"jobs": 2`)))
	assert.Assert(t, bytes.Contains(get(t, d, "/metrics"), []byte(`endivewing_seen{process="p"} 3`)))
}

func get(t *testing.T, d *DebugServer, path string) []byte {
	t.Helper()
	r, err := http.Get("http://" + d.Address() + path)
	assert.NilError(t, err)
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	return body
}

func TestLogKeepsItsLevel(t *testing.T) {
	var out bytes.Buffer
	log, err := NewLog(&out, "info")
	assert.NilError(t, err)
	log.V(1).Info("hidden")
	log.Info("shown", "job", 7)
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte(`"job":7`)))
	assert.Assert(t, !bytes.Contains(out.Bytes(), []byte("hidden")))
	_, err = NewLog(&out, "loud")
	assert.ErrorContains(t, err, "log level")
}

// TestLogIsBounded checks that many lines with one message don't suppress other
// messages, and that the lines left out are counted.
func TestLogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log, err := NewLog(&out, "info")
		assert.NilError(t, err)
		const flood = 1000
		for range flood {
			log.Info("refused")
		}
		log.Info("stopping")
		assert.Equal(t, bytes.Count(out.Bytes(), []byte(`"refused"`)), maxLinesPerMessage)
		assert.Assert(t, bytes.Contains(out.Bytes(), []byte(`"stopping"`)))
		report := fmt.Sprintf(`"log lines left out","count":%d`, flood-maxLinesPerMessage)
		assert.Assert(t, bytes.Contains(out.Bytes(), []byte(report)))
		time.Sleep(messageInterval)
		log.Info("refused")
		assert.Equal(t, bytes.Count(out.Bytes(), []byte(`"refused"`)), maxLinesPerMessage+1)
	})
}
