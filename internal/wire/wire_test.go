package wire

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testOptions(cluster string, h Handler) Options {
	return Options{
		Hello:   func() *wirepb.Hello { return &wirepb.Hello{Role: "entry", Name: "a", Cluster: cluster} },
		Handler: h,
		Log:     logr.Discard(),
	}
}

func startSession(t *testing.T, server, client Options) *Session {
	t.Helper()
	l, err := Listen("127.0.0.1:0", server)
	assert.NilError(t, err)
	go l.Serve()
	t.Cleanup(l.Close)
	s, err := Dial(context.Background(), l.Address(), client)
	assert.NilError(t, err)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func ignore(*Session, *wirepb.Envelope) {}

func jobRequest(job uint64) *wirepb.Envelope {
	q := &wirepb.GetJobRequest{Job: job}
	return &wirepb.Envelope{Body: &wirepb.Envelope_GetJobRequest{GetJobRequest: q}}
}

func echoJob(s *Session, e *wirepb.Envelope) {
	r := &wirepb.GetJobResponse{Job: &wirepb.JobRecord{Job: e.GetGetJobRequest().GetJob()}}
	_ = s.Reply(LaneTraffic, e.Call, &wirepb.Envelope{Body: &wirepb.Envelope_GetJobResponse{GetJobResponse: r}})
}

func TestConcurrentCallsGetTheirReplies(t *testing.T) {
	s := startSession(t, testOptions("c", echoJob), testOptions("c", ignore))
	var wg sync.WaitGroup
	for job := uint64(1); job <= 200; job++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r, err := s.Call(context.Background(), LaneTraffic, jobRequest(job))
			assert.Check(t, err)
			assert.Check(t, r.GetGetJobResponse().GetJob().GetJob() == job)
		}()
	}
	wg.Wait()
}

func TestFaultReplyIsReturnedAsError(t *testing.T) {
	refuse := func(s *Session, e *wirepb.Envelope) {
		_ = s.Reply(LaneTraffic, e.Call, FaultReply(wirepb.FaultCode_FAULT_CODE_NOT_LEADER, "no", "x:1"))
	}
	s := startSession(t, testOptions("c", refuse), testOptions("c", ignore))
	_, err := s.Call(context.Background(), LaneTraffic, jobRequest(1))
	var fault *FaultError
	assert.Assert(t, errors.As(err, &fault))
	assert.Equal(t, fault.Fault.Leader, "x:1")
}

// TestCancellationEndsHandshake covers a host that accepts a connection and
// then sends nothing, such as a suspended one. It must not delay the stop of
// the dialing process.
func TestCancellationEndsHandshake(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, silent.Close()) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hello := make(chan struct{})
	opts := testOptions("c", ignore)
	opts.Hello = func() *wirepb.Hello {
		close(hello) // the connection is established
		return &wirepb.Hello{Cluster: "c"}
	}
	dialed := make(chan error, 1)
	go func() {
		_, err := Dial(ctx, silent.Addr().String(), opts)
		dialed <- err
	}()
	<-hello
	cancel()
	assert.ErrorIs(t, <-dialed, context.Canceled)
}

func TestCallFailsWhenSessionCloses(t *testing.T) {
	hangUp := func(s *Session, _ *wirepb.Envelope) { s.Close() }
	s := startSession(t, testOptions("c", hangUp), testOptions("c", ignore))
	_, err := s.Call(context.Background(), LaneTraffic, jobRequest(1))
	assert.ErrorIs(t, err, ErrClosed)
	assert.ErrorIs(t, s.Send(LaneTraffic, jobRequest(2)), ErrClosed)
}

func TestPeerOfOtherClusterIsRefused(t *testing.T) {
	l, err := Listen("127.0.0.1:0", testOptions("one", ignore))
	assert.NilError(t, err)
	go l.Serve()
	defer l.Close()
	_, err = Dial(context.Background(), l.Address(), testOptions("two", ignore))
	assert.ErrorIs(t, err, ErrWrongCluster)
}

func TestConnectionOfOtherProtocolIsClosed(t *testing.T) {
	l, err := Listen("127.0.0.1:0", testOptions("c", ignore))
	assert.NilError(t, err)
	go l.Serve()
	defer l.Close()
	conn, err := net.Dial("tcp", l.Address())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(4*handshakeTimeout)))
	for err == nil {
		_, err = conn.Read(make([]byte, 64))
	}
	var timeout net.Error
	assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout())
}

func FuzzReadFrame(f *testing.F) {
	m := newMeter(nil)
	whole, _, err := appendFrame(nil, []outgoing{newOutgoing(jobRequest(7))}, m)
	assert.NilError(f, err)
	f.Add(whole)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add(append([]byte{0, 0, 0, 3}, "abc"...))
	f.Fuzz(func(t *testing.T, raw []byte) {
		frame, err := readFrame(bytes.NewReader(raw))
		assert.Assert(t, (frame == nil) != (err == nil))
	})
}

// BenchmarkMessages measures one small message in each direction of a session,
// with many requests in flight.
func BenchmarkMessages(b *testing.B) {
	l, err := Listen("127.0.0.1:0", testOptions("c", echoJob))
	assert.NilError(b, err)
	go l.Serve()
	defer l.Close()
	s, err := Dial(context.Background(), l.Address(), testOptions("c", ignore))
	assert.NilError(b, err)
	s.Start()
	defer s.Close()
	b.ReportAllocs()
	b.SetParallelism(32)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := s.Call(context.Background(), LaneTraffic, jobRequest(1)); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
