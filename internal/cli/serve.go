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

// Run serves until a signal asks for a graceful stop. It prints one line of
// JSON with the addresses when it serves.
func (c *serveCommand) Run(ctx context.Context, o *output) error {
	s, err := config.LoadFile(c.Config)
	if err != nil {
		return err
	}
	target := o.err
	if s.Log.Output == "stdout" {
		target = o.out
	}
	writer := observe.NewAsyncWriter(target)
	defer writer.Close()
	log, err := observe.NewLog(writer, s.Log.Level)
	if err != nil {
		return err
	}
	reload := watchSettings(c.Config, catchHangUps())
	n, err := node.Start(ctx, s, log.WithValues("process", s.Name))
	if err != nil {
		return err
	}
	if err := o.announce(n.Addresses()); err != nil {
		return err
	}
	for {
		select {
		case <-reload:
			c.reload(n, log)
		case <-ctx.Done():
			n.Leave(context.WithoutCancel(ctx)) // the process ends
			return nil
		case <-n.Done():
			return n.Err()
		}
	}
}

// reload reads the settings again; a file with findings changes nothing.
func (c *serveCommand) reload(n *node.Node, log logr.Logger) {
	s, err := config.LoadFile(c.Config)
	if err != nil {
		log.Error(err, "changed settings are not used")
		return
	}
	n.Reload(s)
}

// settingsInterval is how often the settings file is looked at: it may change
// without a signal.
const settingsInterval = 2 * time.Second

// catchHangUps receives SIGHUP for the rest of the process's life: without a
// receiver it would end the process, during a start or a graceful stop too.
func catchHangUps() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// watchSettings tells when the settings file may have changed: on a hang-up,
// and when its time or size differ.
func watchSettings(path string, hup <-chan os.Signal) <-chan struct{} {
	changed := make(chan struct{}, 1)
	go func() {
		ticker := time.NewTicker(settingsInterval)
		defer ticker.Stop()
		last := stamp(path)
		for {
			select {
			case <-hup:
				last = stamp(path)
				notify(changed)
			case <-ticker.C:
				if now := stamp(path); now != last {
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
	default: // one is on its way
	}
}

// fileStamp tells versions of a file apart.
type fileStamp struct {
	modified time.Time
	size     int64
}

func stamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}
