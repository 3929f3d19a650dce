package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"endivewing/internal/config"
	"endivewing/internal/node"
	"endivewing/internal/observe"
)

type serveCommand struct {
	Config string `required:"" placeholder:"FILE" help:"Settings file."`
}

// Run runs the roles until SIGTERM or SIGINT, then stops them gracefully. When all
// have started, it prints their addresses as one line of JSON.
func (c *serveCommand) Run(ctx context.Context, o *output) error {
	s, err := config.LoadFile(c.Config)
	if err != nil {
		return err
	}
	logOutput := o.err
	if s.Log.Output == "stdout" {
		logOutput = o.out
	}
	writer := observe.NewAsyncWriter(logOutput)
	defer writer.Close()
	log, err := observe.NewLog(writer, s.Log.Level)
	if err != nil {
		return err
	}
	settingsChanged := watchSettings(c.Config, hangupSignals())
	n, err := node.Start(ctx, s, log.WithValues("process", s.Name))
	if err != nil {
		return err
	}
	if err := o.printAddresses(n.Addresses()); err != nil {
		return err
	}
	for {
		select {
		case <-settingsChanged:
			c.reload(n, log)
		case <-ctx.Done():
			n.Leave(context.WithoutCancel(ctx)) // the process exits right after
			return nil
		case <-n.Done():
			return n.Err()
		}
	}
}

// reload reads the settings file again and applies it to the node. A file with
// findings is logged and ignored.
func (c *serveCommand) reload(n *node.Node, log logr.Logger) {
	s, err := config.LoadFile(c.Config)
	if err != nil {
		log.Error(err, "changed settings are not used")
		return
	}
	n.Reload(s)
}

// settingsInterval is the interval at which the settings file is checked for
// changes, since it may change without a signal.
const settingsInterval = 2 * time.Second

// hangupSignals returns a channel that receives SIGHUP until the process exits.
// Without a receiver the signal would end the process, also during a start or a
// graceful stop.
func hangupSignals() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// watchSettings returns a channel that receives a value whenever the settings
// file may have changed: on SIGHUP, and when its modification time or size differ.
func watchSettings(path string, hup <-chan os.Signal) <-chan struct{} {
	changed := make(chan struct{}, 1)
	go func() {
		ticker := time.NewTicker(settingsInterval)
		defer ticker.Stop()
		last := fileVersionOf(path)
		for {
			select {
			case <-hup:
				last = fileVersionOf(path)
				notify(changed)
			case <-ticker.C:
				if now := fileVersionOf(path); now != last {
					last = now
					notify(changed)
				}
			}
		}
	}()
	return changed
}

func notify(changed chan<- struct{}) {
	select {
	case changed <- struct{}{}:
	default: // a notification is already pending
	}
}

// fileVersion identifies a version of a file by modification time and size.
type fileVersion struct {
	modified time.Time
	size     int64
}

func fileVersionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}
