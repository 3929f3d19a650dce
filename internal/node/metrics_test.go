package node

import (
	"context"
	"crypto/rand"
	"encoding/json"
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

	"endivewing/api/job"
	"endivewing/internal/apiclient"
	"endivewing/internal/config"
	"endivewing/internal/fakeminion"
)

const metricsPage = "../../docs/operators/metrics.md"

var (
	pageRow  = regexp.MustCompile("(?m)^\\| `(endivewing_\\w+)` \\| (\\w+) \\|")
	typeLine = regexp.MustCompile(`(?m)^# TYPE (\w+) (\w+)$`)
	// eventSection matches the heading of the metrics that are not served until
	// their first event.
	eventSection = regexp.MustCompile(`(?m)^## From the first event$`)
)

// TestMetricsPageNamesWhatANodeServes checks that the operators' page on metrics
// lists exactly the metrics that a node serves, with their types.
func TestMetricsPageNamesWhatANodeServes(t *testing.T) {
	page, err := os.ReadFile(metricsPage)
	assert.NilError(t, err)
	heading := eventSection.FindIndex(page)
	assert.Assert(t, heading != nil)
	always, afterEvent := metricTypes(pageRow, page[:heading[0]]), metricTypes(pageRow, page[heading[1]:])

	n := startNode(t)
	triggerEvents(t, n)
	wanted := maps.Clone(always)
	maps.Copy(wanted, afterEvent)
	for _, name := range untriggered {
		assert.Assert(t, afterEvent[name] != "", name)
		delete(wanted, name)
	}
	var served map[string]string
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		served = metricTypes(typeLine, scrape(t, n.Addresses()["debug"]))
		for name := range wanted {
			if served[name] == "" {
				return poll.Continue("%s is not served", name)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	for _, name := range untriggered {
		delete(served, name)
	}
	assert.DeepEqual(t, served, wanted)
}

// untriggered lists metrics of the event section whose events this test can't
// trigger.
var untriggered = []string{"endivewing_entry_messages_wasted", "endivewing_entry_wire_dropped"}

// triggerEvents makes a job fail, has another one refused, and sends invalid data
// to each listener for sessions, which drops the connection.
func triggerEvents(t *testing.T, n *Node) {
	t.Helper()
	client := &apiclient.Client{BaseURL: "http://" + n.Addresses()[config.RoleEntry]}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		j, err := client.Submit(t.Context(), submission("default"), 5*time.Second)
		if err != nil || j.State != job.Failed {
			return poll.Continue("no failed job yet: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	_, err := client.Submit(t.Context(), submission("nowhere"), 0)
	assert.ErrorContains(t, err, "no_endpoint")
	for _, role := range []string{config.RoleControl, config.RoleAgent} {
		conn, err := net.Dial("tcp", n.Addresses()[role])
		assert.NilError(t, err)
		_, err = conn.Write([]byte("no session"))
		assert.NilError(t, err)
		assert.NilError(t, conn.Close())
	}
}

func submission(service string) *job.Submission {
	return &job.Submission{
		SubmissionID: rand.Text(), Team: "test", Service: service, Tasks: []job.Task{{Data: json.RawMessage(`1`)}},
	}
}

// metricTypes returns the types of the metrics in a text, by metric name. The
// pattern's two groups match the name and the type of one metric.
func metricTypes(pattern *regexp.Regexp, text []byte) map[string]string {
	found := map[string]string{}
	for _, m := range pattern.FindAllSubmatch(text, -1) {
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

// startNode starts the control, entry and agent roles on loopback, with a minion
// that fails every task.
func startNode(t *testing.T) *Node {
	t.Helper()
	minion, err := fakeminion.Start(fakeminion.Options{Slots: 1, FailRatio: 1})
	assert.NilError(t, err)
	t.Cleanup(minion.Stop)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())

	s := config.Default()
	s.Cluster, s.Name, s.Zone = "test", "test", "here"
	s.Roles = []string{config.RoleControl, config.RoleEntry, config.RoleAgent}
	s.ControlAddresses = []string{address}
	s.TLS.InsecureLoopback = true
	s.Control.ID, s.Control.Listen = 1, address
	s.Control.Data = filepath.Join(t.TempDir(), "control")
	s.Control.Members = []config.Member{{ID: 1, Name: "test", Address: address, Zone: "here"}}
	s.Entry.DrainDelay = 0
	s.Agent.Minion, s.Agent.Services = minion.URL(), []string{"default"}
	n, err := Start(t.Context(), &s, logr.Discard())
	assert.NilError(t, err)
	t.Cleanup(func() { n.Stop(context.Background()) })
	return n
}
