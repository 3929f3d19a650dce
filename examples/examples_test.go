package examples

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"endivewing/api/job"
	"endivewing/internal/apiclient"
	"endivewing/internal/config"
	"endivewing/internal/fakeminion"
	"endivewing/internal/node"
)

func load(t *testing.T, file string) *config.Settings {
	s, err := config.LoadFile(file)
	assert.NilError(t, err)
	return s
}

func TestExamplesHaveNoFindings(t *testing.T) {
	files, err := filepath.Glob("*/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 6)
	for _, file := range files {
		load(t, file)
	}
}

// TestExamplesServe starts a control member, an entry and an agent of each
// deployment with their settings, but on loopback and without keys, and submits a
// job.
func TestExamplesServe(t *testing.T) {
	for _, deployment := range []string{"chaophraya", "kandy"} {
		t.Run(deployment, func(t *testing.T) { serve(t, deployment) })
	}
}

func serve(t *testing.T, deployment string) {
	minion, err := fakeminion.Start(fakeminion.Options{})
	assert.NilError(t, err)
	t.Cleanup(minion.Stop)
	address := freeAddress(t)
	start := func(name string) (*node.Node, *config.Settings) {
		s := load(t, filepath.Join(deployment, name+".yaml"))
		onLoopback(t, s, address, minion.URL())
		n, err := node.Start(context.Background(), s, logr.Discard())
		assert.NilError(t, err)
		t.Cleanup(func() { n.Stop(context.Background()) })
		return n, s
	}
	start("control-1")
	_, agent := start("agent-1")
	entry, _ := start("entry-1")
	client := &apiclient.Client{BaseURL: "http://" + entry.Addresses()[config.RoleEntry]}
	s := &job.Submission{SubmissionID: "one", Team: "school", Service: agent.Agent.Services[0]}
	s.Tasks = []job.Task{{Payload: []byte("first")}, {Payload: []byte("second")}}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		j, err := client.Submit(context.Background(), s, time.Second)
		switch {
		case err != nil:
			return poll.Continue("%v", err)
		case j.State == job.Open:
			return poll.Continue("the job is open")
		case j.State == job.Failed:
			return poll.Error(fmt.Errorf("%+v", j.Failure))
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
}

// onLoopback replaces the addresses, paths and keys in the settings of an example,
// so that it runs in the test.
func onLoopback(t *testing.T, s *config.Settings, control, minion string) {
	token := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(token, []byte("secret"), 0o600))
	s.TLS = config.TLS{InsecureLoopback: true}
	s.Debug.Listen = ""
	s.ControlAddresses = []string{control}
	s.Control.Listen = control
	s.Control.Data = filepath.Join(t.TempDir(), "data")
	s.Control.Members = []config.Member{{ID: s.Control.ID, Name: s.Name, Address: control, Zone: s.Zone}}
	s.Entry.Listen = "127.0.0.1:0"
	s.Entry.OperatorTokenFile = token
	s.Entry.DrainDelay = 0
	s.Agent.Listen = "127.0.0.1:0"
	s.Agent.Minion = minion
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	return l.Addr().String()
}
