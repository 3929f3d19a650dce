package control

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
)

// memberEnvVar makes the test binary run a single member. The benchmark can then
// measure the processor time and memory of the member without the followers.
const memberEnvVar = "ENDIVEWING_TEST_MEMBER"

// memberSettings is the JSON value of memberEnvVar.
type memberSettings struct {
	ID      uint64
	Members []Peer
	Dir     string
}

// runMember runs a member until its standard input is closed. It returns the
// exit status.
func runMember() int {
	var s memberSettings
	if err := json.Unmarshal([]byte(os.Getenv(memberEnvVar)), &s); err != nil {
		fmt.Println(err)
		return 1
	}
	var address string
	for _, m := range s.Members {
		if m.ID == s.ID {
			address = m.Address
		}
	}
	p, err := Start(context.Background(), Options{
		Cluster: "test", Name: fmt.Sprint("control", s.ID), ListenAddress: address,
		Members: s.Members, ID: s.ID, DataDir: s.Dir, Log: logr.Discard(),
	})
	if err != nil {
		fmt.Println(err)
		return 1
	}
	fmt.Println("ready")
	_, _ = io.Copy(io.Discard, os.Stdin)
	p.quitLoop()
	<-p.Done()
	return 0
}

// startMembers starts each member of a cluster as a process of its own and
// returns their process IDs by member.
func startMembers(b *testing.B, c *cluster) map[uint64]int {
	pids := map[uint64]int{}
	for _, m := range c.members {
		settings, err := json.Marshal(memberSettings{m.ID, c.members, c.dirs[m.ID]})
		assert.NilError(b, err)
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), memberEnvVar+"="+string(settings))
		stdin, err := cmd.StdinPipe()
		assert.NilError(b, err)
		stdout, err := cmd.StdoutPipe()
		assert.NilError(b, err)
		assert.NilError(b, cmd.Start())
		b.Cleanup(func() {
			_ = stdin.Close()
			_ = cmd.Wait()
		})
		line, err := bufio.NewReader(stdout).ReadString('\n')
		assert.NilError(b, err)
		assert.Equal(b, strings.TrimSpace(line), "ready")
		pids[m.ID] = cmd.Process.Pid
	}
	return pids
}

// clockTicks is the number of clock ticks per second, the kernel's unit of
// processor time in /proc.
const clockTicks = 100

// processorTime returns the processor time that a process has used so far.
func processorTime(b *testing.B, pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(b, err)
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	user, err := strconv.Atoi(fields[11])
	assert.NilError(b, err)
	system, err := strconv.Atoi(fields[12])
	assert.NilError(b, err)
	return time.Duration(user+system) * time.Second / clockTicks
}

// residentBytes returns the resident memory of a process.
func residentBytes(b *testing.B, pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	assert.NilError(b, err)
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	assert.NilError(b, err)
	return float64(pages * os.Getpagesize())
}

// BenchmarkFleet measures the processor time, memory and Sync messages of the
// leader of three member processes while many processes renew their leases.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{0, 250, 750, 1500} {
		b.Run(fmt.Sprint("followers=", size), func(b *testing.B) { benchmarkFleet(b, size) })
	}
}

func benchmarkFleet(b *testing.B, size int) {
	const (
		entries = 10
		quiet   = 10 * time.Second
	)
	c := &cluster{t: b, dirs: map[uint64]string{}}
	for i := range 3 {
		c.members = append(c.members, c.newPeer(uint64(i+1)))
	}
	pids := startMembers(b, c)
	scope := tally.NewTestScope("", nil)
	var followers []*controlclient.Follower
	began := time.Now()
	for i := range size {
		client := controlclient.New(controlclient.Options{
			Addresses: []string{c.members[0].Address, c.members[1].Address, c.members[2].Address},
			Log:       logr.Discard(), Scope: scope,
			Hello: func() *wirepb.Hello { return &wirepb.Hello{Role: "agent", Name: "a", Cluster: "test"} },
		})
		b.Cleanup(client.Close)
		instance := &wirepb.Instance{
			Kind: wirepb.InstanceKind_INSTANCE_KIND_AGENT, Name: fmt.Sprint("agent", i), Zone: "zone",
			Address: fmt.Sprint("192.0.2.1:", i+1), Slots: 8, Connections: 64, Services: []string{"proof", "print"},
		}
		if i < entries {
			instance.Kind = wirepb.InstanceKind_INSTANCE_KIND_ENTRY
		}
		f := controlclient.Follow(context.Background(), client, controlclient.FollowOptions{Instance: instance, Log: logr.Discard()})
		b.Cleanup(f.Close)
		followers = append(followers, f)
	}
	for _, f := range followers {
		waitUntil(b, "leases", func() bool { return f.LeaseValid(time.Now()) })
	}
	b.ReportMetric(float64(time.Since(began).Milliseconds()), "join_ms")
	client := c.client()
	leader := 0
	waitUntil(b, "a leader", func() bool {
		status, err := client.Membership(context.Background(), &wirepb.MembershipRequest{
			Action: wirepb.MembershipAction_MEMBERSHIP_ACTION_STATUS,
		})
		assert.NilError(b, err)
		leader = pids[status.Leader]
		return leader != 0
	})
	b.ReportMetric(residentBytes(b, leader)/1e6, "leader_MB")
	for range b.N {
		syncs, used := receivedSyncs(scope), processorTime(b, leader)
		time.Sleep(quiet)
		used, syncs = processorTime(b, leader)-used, receivedSyncs(scope)-syncs
		b.ReportMetric(float64(syncs)/quiet.Seconds(), "syncs/s")
		if syncs > 0 {
			b.ReportMetric(float64(used.Microseconds())/float64(syncs), "leader_us/sync")
		}
		b.ReportMetric(100*used.Seconds()/quiet.Seconds(), "leader_%core")
	}
}

// receivedSyncs returns the number of Sync responses that the clients received.
func receivedSyncs(scope tally.TestScope) int64 {
	var n int64
	for _, counter := range scope.Snapshot().Counters() {
		if counter.Tags()["kind"] == "SyncResponse" && strings.HasSuffix(counter.Name(), "received") {
			n += counter.Value()
		}
	}
	return n
}
