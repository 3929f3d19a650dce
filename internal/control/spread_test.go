package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
	"endivewing/internal/wal"
)

// median sorts the durations in place and returns the middle one.
func median(durations []time.Duration) time.Duration {
	slices.Sort(durations)
	return durations[len(durations)/2]
}

// BenchmarkLightLoad compares the time of a single accept with the times of its
// parts: a round trip to a member's loop and a sync of the same disk.
func BenchmarkLightLoad(b *testing.B) {
	for _, delay := range []time.Duration{0, 3 * time.Millisecond} {
		b.Run(fmt.Sprint("added=", delay), func(b *testing.B) { benchmarkLightLoad(b, delay) })
	}
}

func benchmarkLightLoad(b *testing.B, delay time.Duration) {
	slowed := func(log appender) appender { return slowLog{log, &atomic.Int64{}, delay} }
	c := startCluster(b, 3, func(o *Options) {
		o.Tick = 50 * time.Millisecond
		o.Lease = time.Hour
		o.wrapLog = slowed
	})
	client := c.client()
	owner := register(b, client, "a")
	var logs []appender
	for range 3 {
		log, _, err := wal.Open(b.TempDir(), wal.Options{})
		assert.NilError(b, err)
		defer func() { _ = log.Close() }()
		logs = append(logs, slowed(log))
	}
	var trips, syncs, quorums, accepts []time.Duration
	timed := func(into *[]time.Duration, do func() error) {
		began := time.Now()
		assert.NilError(b, do())
		*into = append(*into, time.Since(began))
	}
	for i := range b.N {
		timed(&trips, func() error {
			_, err := client.Membership(context.Background(), &wirepb.MembershipRequest{
				Action: wirepb.MembershipAction_MEMBERSHIP_ACTION_STATUS,
			})
			return err
		})
		record := &wirepb.LogRecord{Entries: []*wirepb.Entry{{Index: uint64(i + 1), Data: make([]byte, 200)}}}
		timed(&syncs, func() error { return logs[0].Append(record) })
		taken, err := appendToQuorum(logs, record)
		assert.NilError(b, err)
		quorums = append(quorums, taken)
		timed(&accepts, func() error {
			_, err := client.Accept(context.Background(), acceptRequest(owner, fmt.Sprint("s", i)))
			return err
		})
	}
	trip, oneSync, quorum, accept := median(trips), median(syncs), median(quorums), median(accepts)
	b.ReportMetric(float64(trip.Microseconds()), "trip_us")
	b.ReportMetric(float64(oneSync.Microseconds()), "sync_us")
	b.ReportMetric(float64(accept.Microseconds()), "accept_us")
	b.ReportMetric(float64(quorum.Microseconds()), "quorum_sync_us")
	b.ReportMetric(float64(accept)/float64(2*trip+oneSync), "accept/(2trips+sync)")
	b.ReportMetric(float64(accept)/float64(2*trip+quorum), "accept/(2trips+quorum_sync)")
}

// appendToQuorum appends to three logs at once, as three members on one disk do.
// It returns the time until two appends are done.
func appendToQuorum(logs []appender, record *wirepb.LogRecord) (time.Duration, error) {
	began := time.Now()
	done := make(chan error, len(logs))
	var appends sync.WaitGroup
	for _, log := range logs {
		appends.Go(func() { done <- log.Append(record) })
	}
	first, second := <-done, <-done
	quorum := time.Since(began)
	appends.Wait()
	return quorum, errors.Join(first, second)
}

// BenchmarkChangesToFollowers counts the messages and bytes per change while up
// to 40 processes follow 1,000 resources.
func BenchmarkChangesToFollowers(b *testing.B) {
	for _, followers := range []int{10, 20, 40} {
		b.Run(fmt.Sprint("followers=", followers), func(b *testing.B) { benchmarkChanges(b, followers) })
	}
}

func benchmarkChanges(b *testing.B, followers int) {
	const resources = 1000
	scope := tally.NewTestScope("", nil)
	c := startCluster(b, 3, func(o *Options) {
		o.Tick = 50 * time.Millisecond
		o.Lease = time.Hour
		o.Scope = scope
	})
	client := c.client()
	apply := func(i int) uint64 {
		r, err := client.Apply(context.Background(), &wirepb.ApplyRequest{
			RequestId: fmt.Sprint("r", i), AnyRevision: true,
			Resource: &wirepb.Resource{Kind: "endpoint", Name: fmt.Sprint("endpoint", i%resources), Spec: make([]byte, 200)},
		})
		assert.NilError(b, err)
		return r.Resource.Revision
	}
	for i := range resources {
		apply(i)
	}
	var following []*controlclient.Follower
	for i := range followers {
		// With a long hold, only responses that carry changes are sent.
		f := controlclient.Follow(context.Background(), c.client(), controlclient.FollowOptions{
			Instance: entryInstance(fmt.Sprint("f", i)), Log: logr.Discard(), Hold: 4 * time.Second,
		})
		defer f.Close()
		following = append(following, f)
	}
	reached := func(revision uint64) func() bool {
		return func() bool {
			return !slices.ContainsFunc(following, func(f *controlclient.Follower) bool { return f.View().Revision < revision })
		}
	}
	waitUntil(b, "all follow", reached(apply(resources)))
	sent, bytes := syncAnswers(scope)
	b.ResetTimer()
	for i := range b.N {
		waitUntil(b, "in force", reached(apply(resources+1+i)))
	}
	b.StopTimer()
	sentAfter, bytesAfter := syncAnswers(scope)
	b.ReportMetric(float64(sentAfter-sent)/float64(b.N), "messages/change")
	b.ReportMetric(float64(bytesAfter-bytes)/float64(b.N), "bytes/change")
}

// syncAnswers returns the number of Sync responses sent, and their bytes.
func syncAnswers(scope tally.TestScope) (messages, bytes int64) {
	for _, counter := range scope.Snapshot().Counters() {
		if counter.Tags()["kind"] != "SyncResponse" {
			continue
		}
		switch {
		case strings.HasSuffix(counter.Name(), "sent"):
			messages += counter.Value()
		case strings.HasSuffix(counter.Name(), "sent_bytes"):
			bytes += counter.Value()
		}
	}
	return messages, bytes
}

// BenchmarkRestart restarts a member that missed changes. It measures the time
// to read its disk and the time to catch up after that.
func BenchmarkRestart(b *testing.B) {
	const changes = 10_000
	for _, fromSnapshot := range []bool{false, true} {
		b.Run(fmt.Sprint("snapshot=", fromSnapshot), func(b *testing.B) { benchmarkRestart(b, changes, fromSnapshot) })
	}
}

func benchmarkRestart(b *testing.B, changes int, fromSnapshot bool) {
	c := startCluster(b, 3, func(o *Options) {
		o.Tick = 50 * time.Millisecond
		o.Lease = time.Hour
		if fromSnapshot {
			o.SnapshotEntries = uint64(changes) / 2
			o.RetainEntries = 1
		}
	})
	client := c.client()
	index := 0
	change := func() {
		_, err := client.Apply(context.Background(), &wirepb.ApplyRequest{
			RequestId: fmt.Sprint("r", index), AnyRevision: true,
			Resource: &wirepb.Resource{Kind: "endpoint", Name: fmt.Sprint("endpoint", index%1000), Spec: make([]byte, 200)},
		})
		assert.NilError(b, err)
		index++
	}
	var opened, caughtUp time.Duration
	for range b.N {
		behind := c.leader()%3 + 1
		c.kill(behind)
		for range changes {
			change()
		}
		began := time.Now()
		c.start(behind, false)
		opened += time.Since(began)
		goal := c.dump(c.leader()).Quorum.Commit
		began = time.Now()
		waitUntil(b, "caught up", func() bool { return c.dump(behind).Quorum.Applied >= goal })
		caughtUp += time.Since(began)
	}
	b.ReportMetric(float64(opened.Milliseconds())/float64(b.N), "open_ms")
	b.ReportMetric(float64(caughtUp.Milliseconds())/float64(b.N), "catch_up_ms")
}
