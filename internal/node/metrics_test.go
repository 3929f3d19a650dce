package node

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"endivewing/internal/config"
	"endivewing/internal/standin"
)

const metricsPage = "../../docs/operators/metrics.md"

var (
	pageRow  = regexp.MustCompile("(?m)^\\| `(endivewing_\\w+)` \\| (\\w+) \\|")
	typeLine = regexp.MustCompile(`(?m)^# TYPE (\w+) (\w+)$`)
	// lateSection begins the metrics that are missing until their first event.
	lateSection = regexp.MustCompile(`(?m)^## From the first event$`)
)

func TestMetricsPageNamesWhatANodeServes(t *testing.T) {
	page, err := os.ReadFile(metricsPage)
	assert.NilError(t, err)
	cut := lateSection.FindIndex(page)
	assert.Assert(t, cut != nil)
	always, late := types(pageRow, page[:cut[0]]), types(pageRow, page[cut[1]:])

	address := startNode(t)
	var served map[string]string
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		served = types(typeLine, scrape(t, address))
		for name := range always {
			if served[name] == "" {
				return poll.Continue("%s is not served", name)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	maps.DeleteFunc(served, func(name, kind string) bool { return late[name] == kind })
	assert.DeepEqual(t, served, always)
}

// types maps names of metrics to their types.
func types(row *regexp.Regexp, text []byte) map[string]string {
	found := map[string]string{}
	for _, m := range row.FindAllSubmatch(text, -1) {
		found[string(m[1])] = string(m[2])
	}
	return found
}

func scrape(t *testing.T, address string) []byte {
	t.Helper()
	r, err := http.Get("http://" + address + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	return body
}

// startNode runs every role on loopback and returns the debug address.
func startNode(t *testing.T) string {
	t.Helper()
	minion, err := standin.Start(standin.Options{Slots: 1})
	assert.NilError(t, err)
	t.Cleanup(minion.Stop)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())

	s := config.Default()
	s.Cluster, s.Name, s.Zone = "test", "test", "here"
	s.Roles = []string{config.RoleControl, config.RoleEntry, config.RoleAgent}
	s.Members = []string{address}
	s.TLS.Insecure = true
	s.Control.ID, s.Control.Listen = 1, address
	s.Control.Data = filepath.Join(t.TempDir(), "control")
	s.Control.Members = []config.Member{{ID: 1, Name: "test", Address: address, Zone: "here"}}
	s.Entry.DrainDelay = 0
	s.Agent.Minion, s.Agent.Services = minion.URL(), []string{"default"}
	n, err := Start(t.Context(), &s, logr.Discard())
	assert.NilError(t, err)
	t.Cleanup(func() { n.Stop(context.Background()) })
	return n.Addresses()["debug"]
}
