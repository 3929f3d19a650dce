// Package observe makes the logs, metrics and state dumps of a process.
package observe

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// messageLines is how many lines with the same message are written in a
	// second: what an engineer can read, and little against the time of the
	// requests that they tell of.
	messageLines = 60
	// messagePeriod is the time that messageLines are for.
	messagePeriod = time.Second
)

// NewLog returns a logger that writes JSON lines of at least the given level
// (debug, info, error) to w. Writes to w are serialized. Of lines with the same
// message the first of each second are written; a line tells how many were left
// out. Different outcomes therefore need different messages.
func NewLog(w io.Writer, level string) (logr.Logger, error) {
	least, err := zapcore.ParseLevel(level)
	if err != nil {
		return logr.Discard(), eris.Wrap(err, "log level")
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	out := &boundedWriter{to: w}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.Lock(zapcore.AddSync(out)), least)
	bounded := zapcore.NewSamplerWithOptions(core, messagePeriod, messageLines, 0, zapcore.SamplerHook(out.sampled))
	return zapr.NewLogger(zap.New(bounded)), nil
}

// boundedWriter tells of lines that were left out before the next one that is
// not.
type boundedWriter struct {
	to   io.Writer
	left atomic.Int64
}

// sampled counts what the sampler decides.
func (b *boundedWriter) sampled(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		b.left.Add(1)
	}
}

// Write implements io.Writer.
func (b *boundedWriter) Write(line []byte) (int, error) {
	if n := b.left.Swap(0); n > 0 {
		if _, err := fmt.Fprintf(b.to, "{\"level\":\"info\",\"msg\":\"log lines left out\",\"count\":%d}\n", n); err != nil {
			return 0, err
		}
	}
	return b.to.Write(line)
}
