package fakeminion

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
)

// Payload is the JSON payload of a simulated task. A payload that is not valid
// JSON of this form is a task without run time; its result is a hash of the
// payload.
type Payload struct {
	// SleepMS is the run time of the task in milliseconds.
	SleepMS float64 `json:"sleep_ms,omitempty"`
	// Echo is the result. If it is empty, the result is "ok:" and the SHA-256
	// hash of the payload in hex.
	Echo string `json:"echo,omitempty"`
	// Fail makes the task end with status 500.
	Fail bool `json:"fail,omitempty"`
	// CrashMS makes the minion crash at the end of the run time and come back
	// after this many milliseconds. It drops all connections, so no task that runs
	// there has a result. 0 means no crash.
	CrashMS float64 `json:"crash_ms,omitempty"`
	// ResultBytes pads a shorter result with dots to this length in bytes.
	ResultBytes int `json:"result_bytes,omitempty"`
}

// maxResultBytes bounds the length to which a result is padded.
const maxResultBytes = 8 << 20

// Result returns the result of a task with the given payload if the task doesn't
// fail. It depends only on the payload.
func Result(payload []byte) []byte {
	return parsePayload(payload).result(payload)
}

func parsePayload(raw []byte) Payload {
	var p Payload
	if err := json.Unmarshal(raw, &p); err != nil {
		return Payload{}
	}
	return p
}

func (p Payload) result(raw []byte) []byte {
	out := []byte(p.Echo)
	if p.Echo == "" {
		out = []byte("ok:" + hashHex(raw))
	}
	for len(out) < min(p.ResultBytes, maxResultBytes) {
		out = append(out, '.')
	}
	return out
}

func hashHex(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// taskID identifies the task of one request.
type taskID struct {
	job  uint64
	task uint32
}

func parseTaskID(h http.Header) (taskID, error) {
	job, err := strconv.ParseUint(h.Get(headerJob), 10, 64)
	if err != nil {
		return taskID{}, err
	}
	task, err := strconv.ParseUint(h.Get(headerTask), 10, 32)
	return taskID{job: job, task: uint32(task)}, err
}

// serveTask runs one task. The start is recorded before the task begins to run,
// and the end before the response is sent.
func (m *Minion) serveTask(c echo.Context) error {
	if !m.addHandler() {
		panic(http.ErrAbortHandler) // answers nothing
	}
	defer m.handlers.Done()
	r := c.Request()
	id, err := parseTaskID(r.Header)
	if err != nil {
		return c.String(http.StatusBadRequest, "bad task header")
	}
	raw, err := io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, maxPayloadBytes))
	if err != nil {
		return c.String(http.StatusBadRequest, "bad payload")
	}
	running := m.running.Add(1)
	defer m.running.Add(-1)
	if m.opts.Slots > 0 && running > int64(m.opts.Slots) {
		m.recorder.write(EventRefused, id, raw)
		return c.String(http.StatusTooManyRequests, "no free slot")
	}
	m.starts.Add(1)
	m.recorder.write(EventStart, id, raw)
	p := parsePayload(raw)
	if !m.simulateRun(r.Context(), p) {
		m.recorder.write(EventStopped, id, raw)
		return r.Context().Err()
	}
	if p.CrashMS > 0 {
		m.recorder.write(EventCrash, id, raw)
		m.crash(milliseconds(p.CrashMS))
		panic(http.ErrAbortHandler) // answers nothing
	}
	if p.Fail || m.shouldFail(id) {
		m.recorder.write(EventFailed, id, raw)
		return c.String(http.StatusInternalServerError, "task failed")
	}
	m.recorder.write(EventEnd, id, raw)
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, p.result(raw))
}

// addHandler counts a request that is served. It reports false if the minion is down.
func (m *Minion) addHandler() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.server == nil {
		return false
	}
	m.handlers.Add(1)
	return true
}

// simulateRun waits for the run time of the task, and longer while the minion is
// frozen. It returns false if the request was cancelled.
func (m *Minion) simulateRun(ctx context.Context, p Payload) bool {
	if p.SleepMS > 0 && !m.opts.NoOp {
		timer := time.NewTimer(milliseconds(p.SleepMS * m.opts.TimeFactor))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	m.waitThawed(ctx)
	return ctx.Err() == nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// shouldFail reports whether FailRatio and FailSeed select the task to fail.
func (m *Minion) shouldFail(id taskID) bool {
	if m.opts.FailRatio <= 0 {
		return false
	}
	var key [20]byte
	binary.LittleEndian.PutUint64(key[0:], m.opts.FailSeed)
	binary.LittleEndian.PutUint64(key[8:], id.job)
	binary.LittleEndian.PutUint32(key[16:], id.task)
	return float64(xxhash.Sum64(key[:]))/math.MaxUint64 < m.opts.FailRatio
}
