package standin

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

// Payload is the JSON form that tells a stand-in what to do. A payload that is
// no such JSON is a task without run time.
type Payload struct {
	// SleepMS is the run time in milliseconds.
	SleepMS float64 `json:"sleep_ms,omitempty"`
	// Echo is the result, when not empty.
	Echo string `json:"echo,omitempty"`
	// Fail ends the task with status 500.
	Fail bool `json:"fail,omitempty"`
	// ResultBytes pads the result to this length.
	ResultBytes int `json:"result_bytes,omitempty"`
}

// maxResultBytes bounds the padding of a result.
const maxResultBytes = 8 << 20

// Result is the answer that a stand-in gives to a payload that doesn't fail.
// It depends on the payload alone.
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

// taskID names one request.
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

// serveTask runs one task. The start is recorded before anything of it runs,
// and its end before the answer leaves.
func (m *Minion) serveTask(c echo.Context) error {
	m.handlers.Add(1)
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
		m.record.write(EventRefused, id, raw)
		return c.String(http.StatusTooManyRequests, "no free slot")
	}
	m.starts.Add(1)
	m.record.write(EventStart, id, raw)
	p := parsePayload(raw)
	if !m.work(r.Context(), p) {
		m.record.write(EventStopped, id, raw)
		return r.Context().Err()
	}
	if p.Fail || m.fails(id) {
		m.record.write(EventFailed, id, raw)
		return c.String(http.StatusInternalServerError, "task failed")
	}
	m.record.write(EventEnd, id, raw)
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, p.result(raw))
}

// work spends the task's run time; false when the request was cut off.
func (m *Minion) work(ctx context.Context, p Payload) bool {
	if p.SleepMS > 0 && !m.opts.NoOp {
		timer := time.NewTimer(time.Duration(p.SleepMS * m.opts.TimeFactor * float64(time.Millisecond)))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	m.waitThawed(ctx)
	return ctx.Err() == nil
}

// fails decides from the seed and the task's numbers.
func (m *Minion) fails(id taskID) bool {
	if m.opts.FailRatio <= 0 {
		return false
	}
	var key [20]byte
	binary.LittleEndian.PutUint64(key[0:], m.opts.FailSeed)
	binary.LittleEndian.PutUint64(key[8:], id.job)
	binary.LittleEndian.PutUint32(key[16:], id.task)
	return float64(xxhash.Sum64(key[:]))/math.MaxUint64 < m.opts.FailRatio
}
