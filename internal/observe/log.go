// Package observe provides the logs, metrics and debug server of a process.
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
	// maxLinesPerMessage is the maximum number of lines with the same message that
	// are written in each messageInterval. An engineer can still read that many,
	// and writing them costs little compared with the requests they report.
	maxLinesPerMessage = 60
	// messageInterval is the period that maxLinesPerMessage applies to.
	messageInterval = time.Second
)

// NewLog returns a logger that writes JSON lines of at least the given level
// (debug, info, error) to w. Writes to w are serialized. In each second only the
// first maxLinesPerMessage lines with the same message are written; a further line
// reports how many were left out. Different events therefore need different
// messages.
func NewLog(w io.Writer, level string) (logr.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return logr.Discard(), eris.Wrap(err, "log level")
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	out := &dropReportingWriter{to: w}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.Lock(zapcore.AddSync(out)), minLevel)
	sampled := zapcore.NewSamplerWithOptions(core, messageInterval, maxLinesPerMessage, 0, zapcore.SamplerHook(out.countDropped))
	return zapr.NewLogger(zap.New(sampled)), nil
}

// dropReportingWriter writes the number of log lines that the sampler dropped since
// the last written line, before it writes the next one.
type dropReportingWriter struct {
	to      io.Writer
	dropped atomic.Int64
}

// countDropped is the hook of the sampler. It counts the dropped lines.
func (b *dropReportingWriter) countDropped(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		b.dropped.Add(1)
	}
}

// Write implements io.Writer.
func (b *dropReportingWriter) Write(line []byte) (int, error) {
	if n := b.dropped.Swap(0); n > 0 {
		if _, err := fmt.Fprintf(b.to, "{\"level\":\"info\",\"msg\":\"log lines left out\",\"count\":%d}\n", n); err != nil {
			return 0, err
		}
	}
	return b.to.Write(line)
}
