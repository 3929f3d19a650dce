package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
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
	// minionIdleTimeout is how long an idle connection is kept. It is shorter than
	// the usual default of servers: if the minion closed an idle connection just
	// as a request was sent on it, the outcome of the task would be unknown.
	minionIdleTimeout = 30 * time.Second
	minProbeBackoff   = 10 * time.Millisecond
	maxProbeBackoff   = time.Second
	// maxDetailBytes is the maximum size of the part of an error response's body
	// that is reported.
	maxDetailBytes = 200
)

// minionClient sends tasks to the minion over a bounded pool of connections.
type minionClient struct {
	tasksURL       string
	address        string
	maxResultBytes int
	transport      *http.Transport
}

func newMinionClient(opts Options) *minionClient {
	dialer := &net.Dialer{Timeout: minionDialTimeout}
	return &minionClient{
		tasksURL:       strings.TrimSuffix(opts.MinionURL, "/") + "/v1/tasks/",
		address:        minionAddress(opts.MinionURL),
		maxResultBytes: opts.MaxResultBytes,
		// The transport is used without an http.Client. A client would follow
		// redirects and so start the task a second time.
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     opts.Connections,
			MaxIdleConnsPerHost: opts.Connections,
			IdleConnTimeout:     minionIdleTimeout,
			DisableCompression:  true,
		},
	}
}

// minionAddress returns the host and port of the minion, for probes. The result
// is empty if the URL is invalid.
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

// run sends one task to the minion and waits for its end. The budget is sent to
// the minion in a header, but only the gate enforces it; 0 means no limit. The
// result refused reports that the minion accepts no connections or has no free
// slot.
func (m *minionClient) run(ctx context.Context, t *wirepb.StartTask, budget time.Duration) (end gate.RequestEnd, refused bool) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := m.request(httptrace.WithClientTrace(ctx, trace), t, budget)
	if err != nil {
		return newEnding(t, gate.EndUnsent, gate.ReasonUnknownService, err.Error()), false
	}
	began := time.Now()
	resp, err := m.transport.RoundTrip(r)
	if err != nil {
		refused = isDialError(err) && ctx.Err() == nil
		end = classifySendError(t, err, connected.Load())
	} else {
		refused = resp.StatusCode == http.StatusTooManyRequests
		end = m.readResponse(t, resp)
	}
	end.Run = time.Since(began)
	return end, refused
}

func (m *minionClient) request(ctx context.Context, t *wirepb.StartTask, budget time.Duration) (*http.Request, error) {
	target := m.tasksURL + url.PathEscape(t.Service)
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

// classifySendError returns the end of a request that failed without a response.
// Nothing was sent if there never was a connection or if the last attempt failed
// to dial: the transport retries a POST only if nothing of it was written before.
func classifySendError(t *wirepb.StartTask, err error, connected bool) gate.RequestEnd {
	if !connected || isDialError(err) {
		return newEnding(t, gate.EndUnsent, gate.ReasonMinionDown, err.Error())
	}
	return newEnding(t, gate.EndError, gate.ReasonMinionLost, err.Error())
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// readResponse reads the whole response and returns the end of the request.
func (m *minionClient) readResponse(t *wirepb.StartTask, resp *http.Response) gate.RequestEnd {
	defer func() { _ = resp.Body.Close() }()
	body, err := readBounded(resp, m.maxResultBytes+1)
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		// With this status the minion reports that it has not started the task.
		return newEnding(t, gate.EndUnsent, gate.ReasonMinionBusy, "")
	case err != nil:
		return newEnding(t, gate.EndError, gate.ReasonMinionLost, err.Error())
	case resp.StatusCode/100 != 2:
		text := strings.ToValidUTF8(string(body[:min(len(body), maxDetailBytes)]), "")
		return newEnding(t, gate.EndError, gate.ReasonMinionError, fmt.Sprintf("status %d: %s", resp.StatusCode, text))
	case len(body) > m.maxResultBytes:
		return newEnding(t, gate.EndError, gate.ReasonResultTooLarge, fmt.Sprintf("result is over %d bytes", m.maxResultBytes))
	}
	end := newEnding(t, gate.EndResult, gate.ReasonNone, "")
	end.Result = body
	return end
}

// readBounded reads the body of a response, but at most limit bytes.
func readBounded(resp *http.Response, limit int) ([]byte, error) {
	if n := resp.ContentLength; n >= 0 && n < int64(limit) {
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(resp.Body, int64(limit)))
}

func newEnding(t *wirepb.StartTask, kind gate.EndKind, reason gate.Reason, detail string) gate.RequestEnd {
	return gate.RequestEnd{Key: gate.Key{Job: t.Job, Task: t.Task}, Kind: kind, Reason: reason, Detail: detail}
}

// waitReachable dials the minion until it accepts a connection, with exponential
// backoff and jitter. It reports false if ctx ended first.
func (m *minionClient) waitReachable(ctx context.Context) bool {
	backoff := sleep.Backoff{Min: minProbeBackoff, Max: maxProbeBackoff}
	dialer := net.Dialer{Timeout: minionDialTimeout}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", m.address)
		if err == nil {
			_ = conn.Close()
			return true
		}
		backoff.Wait(ctx)
	}
	return false
}
