// Package apiclient is a client of the HTTP API of an entry, for the command line
// and for tests.
package apiclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"endivewing/api/job"
	"endivewing/api/resource"
)

// ErrUnreachable is returned when no connection could be opened. The request was
// not sent, so nothing of it ran.
var ErrUnreachable = errors.New("entry unreachable")

// ErrUnknownOutcome is returned when the request was sent and no whole response came. It
// is unknown whether the request took effect; it can be retried with the same ID.
var ErrUnknownOutcome = errors.New("answer lost, outcome unknown")

// maxResponseBytes is the maximum number of bytes read of a response body.
const maxResponseBytes = 512 << 20

// Client sends requests to one entry.
type Client struct {
	// BaseURL is the base URL of the entry, such as http://127.0.0.1:7480.
	BaseURL string
	// Token is the operators' bearer token; it may be empty.
	Token string
	// HTTP is the HTTP client to use; nil means http.DefaultClient.
	HTTP *http.Client
}

// Submit posts a job and waits for its answer, at most for the given time. The job
// is returned open when that time ends first. Errors: *job.Error, ErrUnreachable,
// ErrUnknownOutcome.
func (c *Client) Submit(ctx context.Context, s *job.Submission, wait time.Duration) (*job.Job, error) {
	var j job.Job
	err := c.do(ctx, http.MethodPost, "/v1/jobs"+waitQuery(wait), nil, s, &j)
	return &j, err
}

// Job reads a job by its ID. It waits for the end of the job, at most for the
// given time.
func (c *Client) Job(ctx context.Context, id string, wait time.Duration) (*job.Job, error) {
	var j job.Job
	err := c.do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+waitQuery(wait), nil, nil, &j)
	return &j, err
}

// Submission reads a job by its team and submission ID. It waits like Job.
func (c *Client) Submission(ctx context.Context, team, id string, wait time.Duration) (*job.Job, error) {
	var j job.Job
	path := "/v1/teams/" + url.PathEscape(team) + "/submissions/" + url.PathEscape(id)
	err := c.do(ctx, http.MethodGet, path+waitQuery(wait), nil, nil, &j)
	return &j, err
}

// Cancel cancels a job and returns it.
func (c *Client) Cancel(ctx context.Context, id string) (*job.Job, error) {
	var j job.Job
	err := c.do(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, nil, &j)
	return &j, err
}

// Apply writes a resource if its version is the current one. A retry with the
// same requestID returns the first answer again.
func (c *Client) Apply(ctx context.Context, o *resource.Object, requestID string) (*resource.Object, error) {
	var got resource.Object
	header := http.Header{"Request-Id": {requestID}}
	err := c.do(ctx, http.MethodPut, resourcePath(o.Kind, o.Metadata.Name), header, o, &got)
	return &got, err
}

// Resource reads one resource.
func (c *Client) Resource(ctx context.Context, kind resource.Kind, name string) (*resource.Object, error) {
	var got resource.Object
	err := c.do(ctx, http.MethodGet, resourcePath(kind, name), nil, nil, &got)
	return &got, err
}

// Get requests a path and decodes the JSON response into a value; a nil value
// ignores the response body. It is used for lists and dumps.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	return c.do(ctx, http.MethodGet, path, nil, nil, into)
}

func resourcePath(kind resource.Kind, name string) string {
	return fmt.Sprintf("/v1/%s/%s", kind.Plural(), url.PathEscape(name))
}

func waitQuery(wait time.Duration) string {
	return "?wait=" + url.QueryEscape(wait.String())
}

func (c *Client) do(ctx context.Context, method, path string, header http.Header, body, into any) error {
	request, err := c.request(ctx, method, path, header, body)
	if err != nil {
		return err
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return transportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrap(ErrUnknownOutcome, err.Error())
	}
	return decodeResponse(response.StatusCode, text, into)
}

func (c *Client) request(ctx context.Context, method, path string, header http.Header, body any) (*http.Request, error) {
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return nil, eris.Wrap(err, "encode body")
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(text))
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	if header != nil {
		request.Header = header
	}
	request.Header.Set("Content-Type", "application/json")
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
	return request, nil
}

// transportError returns ErrUnreachable for a request that was never sent and
// ErrUnknownOutcome for one that got no response.
func transportError(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	return eris.Wrap(ErrUnknownOutcome, err.Error())
}

func decodeResponse(status int, text []byte, into any) error {
	if status >= http.StatusBadRequest {
		var problem job.Error
		if err := json.Unmarshal(text, &problem); err != nil || problem.Code == "" {
			return eris.Errorf("status %d: %.200s", status, text)
		}
		return &problem
	}
	if into == nil || len(text) == 0 {
		return nil
	}
	return eris.Wrap(json.Unmarshal(text, into), "decode response")
}
