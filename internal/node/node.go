// Package node runs the roles that the settings of a process list.
package node

import (
	"context"
	"crypto/tls"
	"os"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"endivewing/internal/agent"
	"endivewing/internal/config"
	"endivewing/internal/control"
	"endivewing/internal/entry"
	"endivewing/internal/keys"
	"endivewing/internal/observe"
)

// Node is a running process with its roles.
type Node struct {
	settings *config.Settings
	log      logr.Logger
	metrics  *observe.Metrics
	tls      *tls.Config
	// cancelRoles cancels the context of every role, which aborts all work.
	cancelRoles context.CancelFunc
	debug       *observe.DebugServer

	control *control.Process
	agent   *agent.Process
	entry   *entry.Process
	fleet   fleet
}

// Start starts the roles in the order of their dependencies. When one fails to
// start, those started before it are stopped. The context covers the start
// alone: a running node ends by Stop or Leave, because cancelling a context would
// abort requests in flight.
func Start(ctx context.Context, s *config.Settings, log logr.Logger) (*Node, error) {
	n := &Node{settings: s, log: log}
	n.metrics = observe.NewMetrics(map[string]string{"cluster": s.Cluster, "process": s.Name, "zone": s.Zone})
	lifetime, cancel := context.WithCancel(context.WithoutCancel(ctx))
	n.cancelRoles = cancel
	detach := context.AfterFunc(ctx, cancel)
	if err := n.start(lifetime); err != nil {
		n.Stop(context.WithoutCancel(ctx))
		return nil, err
	}
	detach()
	return n, nil
}

func (n *Node) start(ctx context.Context) error {
	steps := []func(context.Context) error{n.openKeys, n.startControl, n.startAgent, n.startEntry, n.startFleet, n.startDebug}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) openKeys(context.Context) (err error) {
	n.tls, err = SessionTLSConfig(n.settings)
	return err
}

// SessionTLSConfig loads the key files that the settings name and returns the TLS
// configuration of sessions. It returns nil when the settings name no files.
func SessionTLSConfig(s *config.Settings) (*tls.Config, error) {
	if s.TLS.Cert == "" {
		return nil, nil
	}
	loaded, err := keys.Open(keys.Files{Cert: s.TLS.Cert, Key: s.TLS.Key, CA: s.TLS.CA})
	if err != nil {
		return nil, err
	}
	return loaded.Config(), nil
}

func (n *Node) startControl(ctx context.Context) (err error) {
	if !n.settings.Has(config.RoleControl) {
		return nil
	}
	n.control, err = control.Start(ctx, n.controlOptions())
	return eris.Wrap(err, "start control")
}

func (n *Node) startAgent(ctx context.Context) (err error) {
	if !n.settings.Has(config.RoleAgent) {
		return nil
	}
	n.agent, err = agent.Start(ctx, n.agentOptions())
	return eris.Wrap(err, "start agent")
}

func (n *Node) startEntry(ctx context.Context) (err error) {
	if !n.settings.Has(config.RoleEntry) {
		return nil
	}
	n.entry, err = entry.Start(ctx, n.entryOptions())
	return eris.Wrap(err, "start entry")
}

func (n *Node) startDebug(context.Context) (err error) {
	if n.settings.Debug.Listen == "" {
		return nil
	}
	n.debug, err = observe.StartDebug(n.settings.Debug.Listen, n.Dump, n.metrics)
	return err
}

// Addresses returns the addresses on which the process listens, with the ports
// that the kernel chose, by the name of the role, HTTP server or debug listener.
func (n *Node) Addresses() map[string]string {
	addresses := map[string]string{}
	if n.control != nil {
		addresses[config.RoleControl] = n.control.Address()
	}
	if n.agent != nil {
		addresses[config.RoleAgent] = n.agent.Address()
	}
	if n.entry != nil {
		addresses[config.RoleEntry] = n.entry.HTTPAddress()
	}
	for name, address := range n.fleet.addresses {
		addresses[name] = address
	}
	if n.debug != nil {
		addresses["debug"] = n.debug.Address()
	}
	return addresses
}

// Dump returns the state of every role, for operators and tests.
func (n *Node) Dump() any {
	roles := map[string]any{}
	if n.control != nil {
		roles[config.RoleControl] = n.control.Dump()
	}
	if n.agent != nil {
		roles[config.RoleAgent] = n.agent.Dump()
	}
	if n.entry != nil {
		roles[config.RoleEntry] = n.entry.Dump()
	}
	n.fleet.dump(roles)
	return map[string]any{"cluster": n.settings.Cluster, "name": n.settings.Name, "zone": n.settings.Zone, "roles": roles}
}

// Done returns a channel that is closed when the control or member role ended by
// itself, for example after a failed disk sync. The process can't continue then.
// The channel is nil for processes without these roles.
func (n *Node) Done() <-chan struct{} {
	switch {
	case n.fleet.member != nil:
		return n.fleet.member.Done()
	case n.control != nil:
		return n.control.Done()
	}
	return nil
}

// Err returns why the control or member role ended by itself.
func (n *Node) Err() error {
	switch {
	case n.fleet.member != nil:
		return n.fleet.member.Err()
	case n.control != nil:
		return n.control.Err()
	}
	return nil
}

// Stop stops the node gracefully and closes its sessions.
func (n *Node) Stop(ctx context.Context) {
	n.Leave(ctx)
	if n.fleet.dispatcher != nil {
		n.fleet.dispatcher.Close()
	}
}

// Leave stops the roles gracefully: the entry finishes its jobs first, then the
// agent its running tasks, then control transfers its leadership. Work that is
// left after the stop timeout of the settings is aborted. The sessions of a
// dispatcher stay open until the process exits, so the caller has to exit at once.
// Closing dozens of sessions can take most of a second, and callers whose
// connections wait in the kernel notice a delay of a fifth of a second.
func (n *Node) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.settings.StopTimeout.D())
	defer cancel()
	defer n.cancelRoles()
	began := time.Now()
	n.leaveFleet(ctx)
	if n.entry != nil {
		n.entry.Stop(ctx)
	}
	if n.agent != nil {
		n.agent.Stop(ctx)
	}
	if n.control != nil {
		n.control.Stop(ctx)
	}
	if n.debug != nil {
		n.debug.Stop(ctx)
	}
	n.metrics.Close()
	n.log.Info("stopped", "took", time.Since(began).String())
}

// operatorToken returns a function that reads the operators' token from a file.
// It is called for each request, so that the token can be replaced without a
// restart. It returns nil when the path is empty: no token is required then.
func operatorToken(path string) func() string {
	if path == "" {
		return nil
	}
	return func() string {
		text, err := os.ReadFile(path)
		if err != nil {
			return ""
		}
		return strings.TrimSpace(string(text))
	}
}
