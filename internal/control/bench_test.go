package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
)

// slowLog simulates a slower disk by adding a delay to each sync.
type slowLog struct {
	appender
	syncs *atomic.Int64
	delay time.Duration
}

func (s slowLog) Append(records ...*wirepb.LogRecord) error {
	s.syncs.Add(1)
	time.Sleep(s.delay)
	return s.appender.Append(records...)
}

// BenchmarkAccept measures durable accepts. With one in flight, each accept
// takes a sync of its own; with many in flight, accepts share syncs.
func BenchmarkAccept(b *testing.B) {
	for _, delay := range []time.Duration{0, 3 * time.Millisecond} {
		for _, inFlight := range []int{1, 64, 1024, 8192} {
			b.Run(fmt.Sprintf("added=%v/in_flight=%d", delay, inFlight), func(b *testing.B) {
				benchmarkAccept(b, delay, inFlight)
			})
		}
	}
}

func benchmarkAccept(b *testing.B, delay time.Duration, inFlight int) {
	var syncs atomic.Int64
	c := startCluster(b, 3, func(o *Options) {
		o.Tick = 50 * time.Millisecond
		o.Lease = time.Hour
		o.wrapLog = func(log appender) appender { return slowLog{log, &syncs, delay} }
	})
	var clients []*controlclient.Client
	for range min(inFlight, 8) {
		clients = append(clients, c.client())
	}
	owner := register(b, clients[0], "a")
	requests := make([]*wirepb.AcceptRequest, b.N)
	for i := range requests {
		requests[i] = acceptRequest(owner, fmt.Sprint("s", i))
	}
	latencies := make([]time.Duration, b.N)
	var next atomic.Int64
	var wg sync.WaitGroup
	syncs.Store(0)
	b.ResetTimer()
	for g := range inFlight {
		client := clients[g%len(clients)]
		wg.Go(func() {
			for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
				began := time.Now()
				_, err := client.Accept(context.Background(), requests[i])
				assert.Check(b, err)
				latencies[i] = time.Since(began)
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "accepts/s")
	b.ReportMetric(float64(syncs.Load())/float64(b.N), "syncs/accept")
	b.ReportMetric(float64(latencies[b.N/2].Microseconds()), "p50_us")
	b.ReportMetric(float64(latencies[b.N*99/100].Microseconds()), "p99_us")
}
