// Package node runs the roles that the settings of one process name.
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
	// cut ends every role at once.
	cut   context.CancelFunc
	debug *observe.DebugServer

	control *control.Process
	agent   *agent.Process
	entry   *entry.Process
	fleet   fleet
}

// Start runs the roles in the order in which they need each other. When one
// can't be started, those before it are stopped again. The context bounds the
// start alone: a node that serves ends by Stop, never by a context, which
// would cut what is in flight.
func Start(ctx context.Context, s *config.Settings, log logr.Logger) (*Node, error) {
	n := &Node{settings: s, log: log}
	n.metrics = observe.NewMetrics(map[string]string{"cluster": s.Cluster, "process": s.Name, "zone": s.Zone})
	lifetime, cut := context.WithCancel(context.WithoutCancel(ctx))
	n.cut = cut
	giveUp := context.AfterFunc(ctx, cut)
	if err := n.start(lifetime); err != nil {
		n.Stop(context.WithoutCancel(ctx))
		return nil, err
	}
	giveUp()
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
	n.tls, err = SessionKeys(n.settings)
	return err
}

// SessionKeys reads the keys that the settings name and returns how sessions
// are secured with them; nil when they name none.
func SessionKeys(s *config.Settings) (*tls.Config, error) {
	if s.TLS.Cert == "" {
		return nil, nil
	}
	keeper, err := keys.Open(keys.Files{Cert: s.TLS.Cert, Key: s.TLS.Key, CA: s.TLS.CA})
	if err != nil {
		return nil, err
	}
	return keeper.Config(), nil
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

// Addresses are where the roles listen, by role, with the real ports.
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

// Dump is the state of every role, for people and tests.
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

// Done is closed when the control role ended by itself, such as on a failed
// sync; the process can't go on then.
func (n *Node) Done() <-chan struct{} {
	switch {
	case n.fleet.member != nil:
		return n.fleet.member.Done()
	case n.control != nil:
		return n.control.Done()
	}
	return nil
}

// Err tells why the node ended by itself.
func (n *Node) Err() error {
	switch {
	case n.fleet.member != nil:
		return n.fleet.member.Err()
	case n.control != nil:
		return n.control.Err()
	}
	return nil
}

// Stop ends the node gracefully, with all that it holds.
func (n *Node) Stop(ctx context.Context) {
	n.Leave(ctx)
	if n.fleet.dispatcher != nil {
		n.fleet.dispatcher.Close()
	}
}

// Leave ends the roles gracefully: entries finish their jobs first, then
// agents what runs, then control hands its leadership on. What is left after
// the settings' stop timeout is cut. Sessions of a dispatcher are left to the end
// of the process, which has to follow at once: ending dozens of them can take the
// better part of a second, and callers whose connections wait in the kernel notice
// a fifth of one.
func (n *Node) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.settings.StopTimeout.D())
	defer cancel()
	defer n.cut()
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

// operatorToken reads the operators' token anew for each request, so that it
// can be replaced without a restart; nil when none is asked for.
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
