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
	// pollTimeout is how long the entry holds one request while the job is open.
	pollTimeout = 10 * time.Second
	// minBackoff is the backoff before the first resubmission, without jitter.
	minBackoff = 50 * time.Millisecond
	// maxBackoff bounds the backoff before a resubmission, without jitter.
	maxBackoff = 2 * time.Second
	// maxResponseBytes bounds the body of one response.
	maxResponseBytes = 64 << 20
)

// result is the outcome of one job for its caller.
type result struct {
	endedAt       time.Duration // time of the outcome since the start of the run
	complete      bool
	refused       bool
	notRun        bool   // the entry stated that no task ran
	reason        string // why the job isn't complete
	resubmissions int    // number of submissions after the first
	refusals      int    // number of submissions that were refused
}

// taskData is the payload of a task for the simulated minion.
type taskData struct {
	SleepMs int64 `json:"sleep_ms"`
}

// client submits the jobs of a run. Its methods may be called concurrently.
type client struct {
	options Options
	http    *http.Client
	start   time.Time
	runID   string // prefix that makes submission IDs unique to the run
}

func newClient(o Options, start time.Time) *client {
	t := &http.Transport{
		MaxIdleConns:        o.Connections * len(o.Entries),
		MaxIdleConnsPerHost: o.Connections,
		MaxConnsPerHost:     o.Connections,
	}
	return &client{options: o, http: &http.Client{Transport: t}, start: start, runID: fmt.Sprintf("%x", start.UnixNano())}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// submit submits job number i and returns its outcome. While the outcome is
// unknown it submits the job again to the next entry, with the same submission
// ID. It also does so after a refusal that may be retried, if RetryRefused is set.
func (c *client) submit(ctx context.Context, i int, s submission) result {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	body := c.body(i, s)
	var r result
	backoff := minBackoff
	for try := i; ; try++ {
		next, wait := c.attempt(ctx, c.options.Entries[try%len(c.options.Entries)], body)
		next.resubmissions, next.refusals = r.resubmissions, r.refusals
		if next.refused {
			next.refusals++
		}
		r = next
		retry := r.reason == reasonNoAnswer || r.refused && c.options.RetryRefused && wait > 0
		if r.complete || !retry {
			break
		}
		if !sleep.For(ctx, max(wait, jitter(backoff))) {
			break
		}
		backoff = min(2*backoff, maxBackoff)
		r.resubmissions++
	}
	r.endedAt = time.Since(c.start)
	return r
}

const (
	reasonNoAnswer = "no_answer"
	reasonPartial  = "partial_answer"
)

// body returns the encoded submission of job number i.
func (c *client) body(i int, s submission) []byte {
	sub := job.Submission{
		SubmissionID: fmt.Sprintf("%s-%d", c.runID, i),
		Team:         s.team,
		Service:      c.options.Service,
		TimeoutMs:    uint64(c.options.Timeout.Milliseconds()),
		Tasks:        make([]job.Task, len(s.RunTimes)),
	}
	for k, run := range s.RunTimes {
		data, _ := json.Marshal(taskData{SleepMs: run.Milliseconds()})
		sub.Tasks[k].Data = data
		if s.declared != nil {
			sub.Tasks[k].DeclaredMs = s.declared[k]
		}
	}
	body, _ := json.Marshal(sub)
	return body
}

// attempt submits a job once and waits until it ends. The second result is the
// retry time that the entry advised; 0 when it advised none.
func (c *client) attempt(ctx context.Context, entry string, body []byte) (result, time.Duration) {
	j, failure, err := c.doRequest(ctx, http.MethodPost, baseURL(entry)+"/v1/jobs?wait="+pollTimeout.String(), body)
	for err == nil && failure == nil && j.State == job.Open {
		j, failure, err = c.doRequest(ctx, http.MethodGet, baseURL(entry)+"/v1/jobs/"+j.ID+"?wait="+pollTimeout.String(), nil)
	}
	switch {
	case err != nil:
		return result{reason: reasonNoAnswer}, 0
	case failure != nil:
		return resultOfError(failure)
	default:
		return resultOfJob(j), 0
	}
}

func resultOfError(e *job.Error) (result, time.Duration) {
	wait := time.Duration(e.RetryAfterMs) * time.Millisecond
	switch e.Code {
	case job.CodeUnavailable, job.CodeUnknown:
		return result{reason: reasonNoAnswer, notRun: e.NotRun}, wait
	case job.CodeRefused:
		return result{refused: true, reason: "refused", notRun: e.NotRun}, wait
	}
	return result{reason: string(e.Code), notRun: e.NotRun}, wait
}

func resultOfJob(j *job.Job) result {
	if j.State == job.Failed && j.Failure != nil {
		return result{reason: j.Failure.Reason, notRun: j.Failure.NotRun}
	}
	if len(j.Results) != j.Tasks {
		return result{reason: reasonPartial}
	}
	return result{complete: true}
}

// doRequest sends one request. It returns the job of a success response, the error
// of any other response, or the error that prevented a readable response.
func (c *client) doRequest(ctx context.Context, method, url string, body []byte) (*job.Job, *job.Error, error) {
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
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

// jitter returns a random time between half of d and one and a half times d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
