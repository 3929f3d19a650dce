// Package observe makes the logs, metrics and state dumps of a process.
package observe

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLog returns a logger that writes JSON lines of at least the given level
// (debug, info, error) to w. Writes to w are serialized.
func NewLog(w io.Writer, level string) (logr.Logger, error) {
	least, err := zapcore.ParseLevel(level)
	if err != nil {
		return logr.Discard(), eris.Wrap(err, "log level")
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), least)
	return zapr.NewLogger(zap.New(core)), nil
}
