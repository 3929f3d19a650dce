package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
)

// BenchmarkPause measures the longest accept of a client that sends one request
// after the other, while the leader ends or the membership changes.
func BenchmarkPause(b *testing.B) {
	events := map[string]func(b *testing.B, c *cluster, operator *controlclient.Client){
		"none":          func(*testing.B, *cluster, *controlclient.Client) {},
		"leader killed": func(_ *testing.B, c *cluster, _ *controlclient.Client) { c.kill(c.leader()) },
		"leader stopped": func(b *testing.B, c *cluster, _ *controlclient.Client) {
			leader := c.leader()
			assert.NilError(b, c.running[leader].Stop(context.Background()))
			delete(c.running, leader)
		},
		"follower replaced": replaceFollower,
	}
	for name, event := range events {
		b.Run(name, func(b *testing.B) { benchmarkPause(b, event) })
	}
}

// replaceFollower replaces a voter that is not the leader by a new member.
func replaceFollower(b *testing.B, c *cluster, operator *controlclient.Client) {
	leaving := c.leader()%3 + 1
	c.members = append(c.members, c.newPeer(4))
	c.start(4, true)
	changeMembers(b, operator, wirepb.MembershipAction_MEMBERSHIP_ACTION_ADD_LEARNER, c.peer(4), 0)
	changeMembers(b, operator, wirepb.MembershipAction_MEMBERSHIP_ACTION_PROMOTE, c.peer(4), leaving)
	c.kill(leaving)
}

func benchmarkPause(b *testing.B, event func(*testing.B, *cluster, *controlclient.Client)) {
	var total, electionTimeouts time.Duration
	for n := range b.N {
		c := startCluster(b, 3, func(o *Options) {
			o.Tick = DefaultTick
			o.Lease = time.Hour
		})
		client, operator := c.client(), c.client()
		owner := register(b, client, "a")
		stopped := make(chan struct{})
		longest := make(chan time.Duration)
		go func() { longest <- acceptUntil(b, client, owner, fmt.Sprint(n), stopped) }()
		time.Sleep(300 * time.Millisecond)
		event(b, c, operator)
		time.Sleep(3 * DefaultTick * DefaultElectionTicks)
		close(stopped)
		total += <-longest
		electionTimeouts += DefaultTick * DefaultElectionTicks
		c.stop()
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "longest_ms")
	b.ReportMetric(float64(total)/float64(electionTimeouts), "longest/election_timeout")
}

// acceptUntil accepts one job after the other until stopped is closed. It
// returns the longest time that an accept took.
func acceptUntil(b *testing.B, client controlclient.Control, owner uint64, prefix string, stopped <-chan struct{}) time.Duration {
	var longest time.Duration
	for i := 0; ; i++ {
		select {
		case <-stopped:
			return longest
		default:
		}
		began := time.Now()
		_, err := client.Accept(context.Background(), acceptRequest(owner, fmt.Sprint(prefix, "-", i)))
		assert.Check(b, err)
		longest = max(longest, time.Since(began))
	}
}
