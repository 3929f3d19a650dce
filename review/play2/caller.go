package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// step is a step of a job.
type step struct {
	Count        int     `json:"count"`
	CPU          int64   `json:"cpu,omitempty"`
	MemMb        int64   `json:"memMb,omitempty"`
	EstRuntimeMs float64 `json:"estRuntimeMs,omitempty"`
	After        []int   `json:"after,omitempty"`
	Constraints  string  `json:"constraints,omitempty"`
	AntiAffinity int     `json:"antiAffinity,omitempty"`
}

// job is a job that need not be stored.
type job struct {
	id    string
	Spec  string `json:"spec"`
	Steps []step `json:"phases"`
	Loose bool   `json:"bestEffort"`
}

func newJob(spec string, steps ...step) *job {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw)
	return &job{id: hex.EncodeToString(raw), Spec: spec, Steps: steps, Loose: true}
}

// reply is what a caller saw of a request. status 0 stands for a channel that ended
// without a complete answer.
type reply struct {
	status int
	body   string
	err    error
	sent   time.Time
	ended  time.Time
}

// call sends a request to a machine on a channel of its own.
func (w *world) call(ctx context.Context, method, address, host, path string, body []byte, limit time.Duration) reply {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Endivewing-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	out := reply{sent: time.Now()}
	response, err := client.Do(request)
	if err != nil {
		out.err, out.ended = err, time.Now()
		return out
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	out.ended = time.Now()
	if err != nil {
		out.err = err
		return out
	}
	out.status, out.body = response.StatusCode, string(bytes.TrimSpace(text))
	return out
}

// submit sends a job to a dispatcher, on a queue of the play, and notes the answer.
func (w *world) submit(dispatcher int, queue string, j *job, limit time.Duration) reply {
	body, err := json.Marshal(j)
	if err != nil {
		return reply{err: err}
	}
	w.note("caller sends job %s on queue %s to edge-%d, waits %d ms", j.id, queue, dispatcher, limit.Milliseconds())
	out := w.call(context.Background(), http.MethodPost, w.dispatchers[dispatcher].front, queueHost, "/"+queue+"/"+j.id, body, limit)
	if out.status == 0 {
		w.note("caller of job %s: the channel ended without an answer: %v", j.id, out.err)
	} else {
		w.note("caller of job %s gets %d %s", j.id, out.status, out.body)
	}
	return out
}

// submitEvery sends jobs of two short tasks at an interval to the dispatchers in turn,
// whether or not the earlier ones are answered, until stop is closed. Their minions must
// have the label, if there is one. It notes no answers.
func (w *world) submitEvery(interval time.Duration, stop <-chan struct{}, queue string, ms, cpu int64, label string) {
	var open sync.WaitGroup
	defer open.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		open.Go(func() { w.submitShort(n%len(w.dispatchers), queue, ms, cpu, label) })
	}
}

func (w *world) submitShort(dispatcher int, queue string, ms, cpu int64, label string) reply {
	j := newJob(specOf("short", ms, cpu), step{Count: 2, CPU: cpu, MemMb: 64, EstRuntimeMs: float64(ms), Constraints: label})
	body, err := json.Marshal(j)
	if err != nil {
		return reply{err: err}
	}
	return w.call(context.Background(), http.MethodPost, w.dispatchers[dispatcher].front, queueHost, "/"+queue+"/"+j.id, body, 1500*time.Millisecond)
}
