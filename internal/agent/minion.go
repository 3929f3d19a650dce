package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/gate"
	"endivewing/internal/sleep"
)

// Headers of a request to the minion, in canonical form.
const (
	headerJob      = "Endivewing-Job"
	headerTask     = "Endivewing-Task"
	headerBudgetMS = "Endivewing-Budget-Ms"
)

const (
	minionDialTimeout = time.Second
	// minionIdleTimeout is how long an idle connection is kept. It is shorter
	// than what servers keep by default, because a request that meets a
	// connection while the minion closes it has an unknown outcome.
	minionIdleTimeout = 30 * time.Second
	probeFirst        = 10 * time.Millisecond
	probeMost         = time.Second
	// detailBytes bounds what is kept of an error's body.
	detailBytes = 200
)

// minionClient sends tasks to the minion over a bounded pool of connections.
type minionClient struct {
	base      string
	address   string
	maxResult int
	transport *http.Transport
}

func newMinionClient(opts Options) *minionClient {
	dialer := &net.Dialer{Timeout: minionDialTimeout}
	return &minionClient{
		base:      strings.TrimSuffix(opts.MinionURL, "/") + "/v1/tasks/",
		address:   minionAddress(opts.MinionURL),
		maxResult: opts.MaxResult,
		// The transport is used without a client, which would follow redirects
		// and so start the task a second time.
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     opts.Connections,
			MaxIdleConnsPerHost: opts.Connections,
			IdleConnTimeout:     minionIdleTimeout,
			DisableCompression:  true,
		},
	}
}

// minionAddress is the host and port of the minion, for probes.
func minionAddress(base string) string {
	u, err := url.Parse(base)
	if err != nil {
		return ""
	}
	if u.Port() != "" {
		return u.Host
	}
	return net.JoinHostPort(u.Hostname(), "80")
}

func (m *minionClient) close() { m.transport.CloseIdleConnections() }

// run sends one task and waits for its end. A budget of 0 is no limit; the
// minion is told it and the gate enforces it. refused tells that the minion
// accepts no connections or has no free slot.
func (m *minionClient) run(ctx context.Context, t *wirepb.StartTask, budget time.Duration) (end gate.Ending, refused bool) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := m.request(httptrace.WithClientTrace(ctx, trace), t, budget)
	if err != nil {
		return ending(t, gate.EndUnsent, gate.ReasonUnknownService, err.Error()), false
	}
	began := time.Now()
	resp, err := m.transport.RoundTrip(r)
	if err != nil {
		refused = dialFailed(err) && ctx.Err() == nil
		end = sendFailed(t, err, connected.Load())
	} else {
		refused = resp.StatusCode == http.StatusTooManyRequests
		end = m.answer(t, resp)
	}
	end.Run = time.Since(began)
	return end, refused
}

func (m *minionClient) request(ctx context.Context, t *wirepb.StartTask, budget time.Duration) (*http.Request, error) {
	target := m.base + url.PathEscape(t.Service)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(t.Payload))
	if err != nil {
		return nil, err
	}
	r.Header[headerJob] = []string{strconv.FormatUint(t.Job, 10)}
	r.Header[headerTask] = []string{strconv.FormatUint(uint64(t.Task), 10)}
	if budget > 0 {
		r.Header[headerBudgetMS] = []string{strconv.FormatInt(budget.Milliseconds(), 10)}
	}
	return r, nil
}

// sendFailed classifies an error without an answer. Nothing was sent when no
// connection was got, or when the last attempt failed to dial: the transport
// tries a POST again only if nothing of it was written before.
func sendFailed(t *wirepb.StartTask, err error, connected bool) gate.Ending {
	if !connected || dialFailed(err) {
		return ending(t, gate.EndUnsent, gate.ReasonMinionDown, err.Error())
	}
	return ending(t, gate.EndError, gate.ReasonMinionLost, err.Error())
}

func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// answer reads the whole response.
func (m *minionClient) answer(t *wirepb.StartTask, resp *http.Response) gate.Ending {
	defer func() { _ = resp.Body.Close() }()
	body, err := readBounded(resp, m.maxResult+1)
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		// By this status the minion says that it has not started the task.
		return ending(t, gate.EndUnsent, gate.ReasonMinionBusy, "")
	case err != nil:
		return ending(t, gate.EndError, gate.ReasonMinionLost, err.Error())
	case resp.StatusCode/100 != 2:
		text := strings.ToValidUTF8(string(body[:min(len(body), detailBytes)]), "")
		return ending(t, gate.EndError, gate.ReasonMinionError, fmt.Sprintf("status %d: %s", resp.StatusCode, text))
	case len(body) > m.maxResult:
		return ending(t, gate.EndError, gate.ReasonResultTooLarge, fmt.Sprintf("over %d bytes", m.maxResult))
	}
	end := ending(t, gate.EndResult, gate.ReasonNone, "")
	end.Result = body
	return end
}

// readBounded reads at most limit bytes of the body.
func readBounded(resp *http.Response, limit int) ([]byte, error) {
	if n := resp.ContentLength; n >= 0 && n < int64(limit) {
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(resp.Body, int64(limit)))
}

func ending(t *wirepb.StartTask, kind gate.EndKind, reason gate.Reason, detail string) gate.Ending {
	return gate.Ending{Key: gate.Key{Job: t.Job, Task: t.Task}, Kind: kind, Reason: reason, Detail: detail}
}

// awaitUp dials the minion, with growing jittered pauses, until it accepts;
// false when ctx ended first.
func (m *minionClient) awaitUp(ctx context.Context) bool {
	pause := probeFirst
	dialer := net.Dialer{Timeout: minionDialTimeout}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", m.address)
		if err == nil {
			_ = conn.Close()
			return true
		}
		sleep.For(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, probeMost)
	}
	return false
}
