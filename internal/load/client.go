package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"endivewing/api/job"
	"endivewing/internal/sleep"
)

const (
	// pollWait is how long one request waits at the entry for the end.
	pollWait = 10 * time.Second
	// retryMin and retryMax bound the jittered pause before a resubmission.
	retryMin = 50 * time.Millisecond
	retryMax = 2 * time.Second
	// maxAnswerBytes bounds one response.
	maxAnswerBytes = 64 << 20
)

// result is how one job ended for its caller.
type result struct {
	at       time.Duration // since the start of the run
	complete bool
	refused  bool
	notRun   bool
	reason   string
	resent   int // submissions after the first
	refusals int
}

// taskData is what the stand-in minion reads.
type taskData struct {
	SleepMs int64 `json:"sleep_ms"`
}

// client submits jobs as one caller after the other.
type client struct {
	o     Options
	http  *http.Client
	start time.Time
	run   string // makes submission IDs unique to the run
}

func newClient(o Options, start time.Time) *client {
	t := &http.Transport{
		MaxIdleConns:        o.Connections * len(o.Entries),
		MaxIdleConnsPerHost: o.Connections,
		MaxConnsPerHost:     o.Connections,
	}
	return &client{o: o, http: &http.Client{Transport: t}, start: start, run: fmt.Sprintf("%x", start.UnixNano())}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// do submits job number i and follows it to its end. After an answer that
// leaves the outcome open it submits again, with the same submission ID, to
// the next entry.
func (c *client) do(ctx context.Context, i int, s submission) result {
	ctx, cancel := context.WithTimeout(ctx, c.o.Timeout)
	defer cancel()
	body := c.body(i, s)
	var r result
	pause := retryMin
	for try := i; ; try++ {
		next, wait := c.attempt(ctx, c.o.Entries[try%len(c.o.Entries)], body)
		next.resent, next.refusals = r.resent, r.refusals
		if next.refused {
			next.refusals++
		}
		r = next
		again := r.reason == reasonLost || r.refused && c.o.RetryRefused && wait > 0
		if r.complete || !again {
			break
		}
		if !sleep.For(ctx, max(wait, jitter(pause))) {
			break
		}
		pause = min(2*pause, retryMax)
		r.resent++
	}
	r.at = time.Since(c.start)
	return r
}

const (
	reasonLost    = "no_answer"
	reasonPartial = "partial_answer"
)

func (c *client) body(i int, s submission) []byte {
	sub := job.Submission{
		SubmissionID: fmt.Sprintf("%s-%d", c.run, i),
		Team:         s.team,
		Service:      c.o.Service,
		TimeoutMs:    uint64(c.o.Timeout.Milliseconds()),
		Tasks:        make([]job.Task, len(s.Runs)),
	}
	for k, run := range s.Runs {
		data, _ := json.Marshal(taskData{SleepMs: run.Milliseconds()})
		sub.Tasks[k].Data = data
		if s.declared != nil {
			sub.Tasks[k].DeclaredMs = s.declared[k]
		}
	}
	body, _ := json.Marshal(sub)
	return body
}

// attempt submits once and waits for the end. The second value is the advised
// time before the next attempt.
func (c *client) attempt(ctx context.Context, entry string, body []byte) (result, time.Duration) {
	j, failure, err := c.exchange(ctx, http.MethodPost, baseURL(entry)+"/v1/jobs?wait="+pollWait.String(), body)
	for err == nil && failure == nil && j.State == job.Open {
		j, failure, err = c.exchange(ctx, http.MethodGet, baseURL(entry)+"/v1/jobs/"+j.ID+"?wait="+pollWait.String(), nil)
	}
	switch {
	case err != nil:
		return result{reason: reasonLost}, 0
	case failure != nil:
		return ofError(failure)
	default:
		return ofJob(j), 0
	}
}

func ofError(e *job.Error) (result, time.Duration) {
	wait := time.Duration(e.RetryAfterMs) * time.Millisecond
	switch e.Code {
	case job.CodeUnavailable, job.CodeUnknown:
		return result{reason: reasonLost, notRun: e.NotRun}, wait
	case job.CodeRefused:
		return result{refused: true, reason: "refused", notRun: e.NotRun}, wait
	}
	return result{reason: string(e.Code), notRun: e.NotRun}, wait
}

func ofJob(j *job.Job) result {
	if j.State == job.Failed && j.Failure != nil {
		return result{reason: j.Failure.Reason, notRun: j.Failure.NotRun}
	}
	if len(j.Results) != j.Tasks {
		return result{reason: reasonPartial}
	}
	return result{complete: true}
}

// exchange sends one request. Exactly one of the three results is set.
func (c *client) exchange(ctx context.Context, method, url string, body []byte) (*job.Job, *job.Error, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, nil, err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		e := &job.Error{}
		return nil, e, json.Unmarshal(text, e)
	}
	j := &job.Job{}
	return j, nil, json.Unmarshal(text, j)
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
