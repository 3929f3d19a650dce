package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"endivewing/internal/config"
	"endivewing/internal/controlmember"
	"endivewing/internal/dispatcher"
	"endivewing/internal/runner"
	"endivewing/internal/sleep"
	"endivewing/platform"
)

const (
	// fleetHeaderTimeout is the time limit for reading the header of a request.
	fleetHeaderTimeout = 3 * time.Second
	// fleetIdleTimeout is how long an idle connection is kept open.
	fleetIdleTimeout = 75 * time.Second
	// balancerRemovalDelay is how long a stopping dispatcher keeps accepting jobs
	// after its readiness check starts to fail. The balancer probes once a second
	// and removes a dispatcher after the second failed probe.
	balancerRemovalDelay = 2600 * time.Millisecond
	// closeTimeout is the time limit for the graceful shutdown of a server that
	// already refuses every request. A refusal takes a millisecond, and callers
	// notice a delay of 0.2 s.
	closeTimeout = 80 * time.Millisecond
	// closePause is how long a server goes on before it is closed. Requests that wait
	// are read and refused within it.
	closePause = 10 * time.Millisecond
	// dispatcherGCPercent is the garbage collection target (GOGC) of a dispatcher,
	// in percent of its live heap. The live heap is a few megabytes, so fewer
	// collections are worth the extra memory.
	dispatcherGCPercent = 400
	// memoryLimitShare is the fraction of fleet.memory that is set as the memory
	// limit of the Go runtime, near which it collects garbage more often. The rest
	// is for memory that the runtime does not count.
	memoryLimitShare = 0.55
	// stopMargin is the part of the stop timeout that is reserved for closing the
	// servers after the jobs have ended.
	stopMargin = 500 * time.Millisecond
)

// fleet holds the member, dispatcher or runner role of a process. A process runs
// at most one of them, so at most one of the three pointers is set.
type fleet struct {
	member     *controlmember.Member
	dispatcher *dispatcher.Process
	runner     *runner.Process
	servers    []*http.Server
	// addresses maps the name of each HTTP server to its listen address.
	addresses map[string]string
}

func (n *Node) startFleet(ctx context.Context) error {
	s := n.settings
	switch {
	case s.Has(config.RoleMember):
		return n.startMember(ctx)
	case s.Has(config.RoleDispatcher):
		return n.startDispatcher()
	case s.Has(config.RoleRunner):
		return n.startRunner()
	}
	return nil
}

func (n *Node) startMember(ctx context.Context) (err error) {
	s := n.settings
	limitMemory(s)
	n.fleet.member, err = controlmember.Start(ctx, controlmember.Options{
		Cluster: s.Cluster, Name: s.Name, Zone: s.Zone,
		Address: s.Fleet.SessionAddress(), ListenAddress: s.Fleet.ListenAddress(),
		Seeds: s.Fleet.SeedSessionAddresses(), FirstStart: s.Fleet.FirstStart,
		DataDir: s.Fleet.Data, Voters: s.Fleet.Voters(),
		Log: n.log, Scope: n.metrics.Scope.SubScope(config.RoleMember),
	})
	if err != nil {
		return eris.Wrap(err, "start member")
	}
	operator := &platform.OperatorServer{Documents: n.fleet.member, Log: n.log}
	return n.serve("operators", s.Fleet.Operators, operator.Handler())
}

func (n *Node) startDispatcher() error {
	s := n.settings
	debug.SetGCPercent(dispatcherGCPercent)
	limitMemory(s)
	scope := n.metrics.Scope.SubScope(config.RoleDispatcher)
	n.fleet.dispatcher = dispatcher.Start(dispatcher.Options{
		Cluster: s.Cluster, Name: s.Name, Zone: s.Zone, Seeds: s.Fleet.SeedSessionAddresses(),
		Decode: platform.DecodeDocument,
		Log:    n.log, Scope: scope,
	})
	front := &platform.CallerServer{Dispatcher: n.fleet.dispatcher, Log: n.log, Scope: scope}
	if err := n.serve("balancer", s.Fleet.Readiness, front.ReadyHandler()); err != nil {
		return err
	}
	return n.serve("callers", s.Fleet.Callers, front.Handler())
}

// limitMemory sets the memory limit of the Go runtime by the memory that the settings
// allow the process.
func limitMemory(s *config.Settings) {
	if s.Fleet.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Fleet.Memory) * memoryLimitShare))
	}
}

func (n *Node) startRunner() (err error) {
	s := n.settings
	n.fleet.runner, err = runner.Start(runner.Options{
		Cluster: s.Cluster, Name: s.Name, Zone: s.Zone,
		Address: s.Fleet.SessionAddress(), ListenAddress: s.Fleet.ListenAddress(), Seeds: s.Fleet.SeedSessionAddresses(),
		Minion: platform.NewMinion(s.Fleet.Minion), StopTimeout: s.StopTimeout.D() - stopMargin,
		Log: n.log, Scope: n.metrics.Scope.SubScope(config.RoleRunner),
	})
	if err != nil {
		return eris.Wrap(err, "start runner")
	}
	reports := &platform.MinionServer{Runner: n.fleet.runner, Log: n.log}
	return n.serve("minion", s.Fleet.Reports, reports.Handler())
}

// serve starts an HTTP server on an address; it runs until the node stops. The
// address is published in Addresses under the given name.
func (n *Node) serve(name, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: fleetHeaderTimeout, IdleTimeout: fleetIdleTimeout}
	n.fleet.servers = append(n.fleet.servers, server)
	if n.fleet.addresses == nil {
		n.fleet.addresses = map[string]string{}
	}
	n.fleet.addresses[name] = l.Addr().String()
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error(err, "HTTP server ended", "address", address)
		}
	}()
	return nil
}

// Reload applies changed settings. Only the seeds can change while a process
// runs; other changes are ignored.
func (n *Node) Reload(s *config.Settings) {
	n.log.Info("settings read again", "seeds", s.Fleet.Seeds)
	seeds := s.Fleet.SeedSessionAddresses()
	switch {
	case n.fleet.member != nil:
		n.fleet.member.SetSeeds(seeds)
	case n.fleet.dispatcher != nil:
		n.fleet.dispatcher.AddSeeds(seeds)
	case n.fleet.runner != nil:
		n.fleet.runner.AddSeeds(seeds)
	}
}

// leaveFleet stops the role gracefully. A dispatcher first fails its readiness
// check, so that the balancer removes it, then refuses new jobs and answers the
// open ones. Its sessions are left open.
func (n *Node) leaveFleet(ctx context.Context) {
	f := &n.fleet
	if f.dispatcher != nil {
		n.log.Info("dispatcher stopping")
		f.dispatcher.Leave()
		sleep.For(ctx, balancerRemovalDelay)
		f.dispatcher.Refuse()
		answered, cancel := context.WithTimeout(ctx, time.Until(deadlineOf(ctx))-stopMargin)
		f.dispatcher.Finish(answered)
		cancel()
	}
	if f.runner != nil {
		f.runner.Stop(ctx)
	}
	for _, server := range f.servers {
		closeServer(ctx, server, n.log)
	}
	if f.member != nil {
		f.member.Stop(ctx)
	}
}

// httpServer is the part of http.Server that closeServer uses.
type httpServer interface {
	Shutdown(ctx context.Context) error
	Close() error
}

// catchUp waits until the process has run for closePause without a standstill. Requests
// that arrived while it stood still have then been read, and are answered.
func catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		sleep.For(ctx, closePause)
		if time.Since(began) < 2*closePause {
			return
		}
	}
}

// closeServer shuts down a server that has no requests left to answer. Between
// the close of its listener and the exit of the process, requests on connections
// that were never accepted get no answer. Connections that are still open after
// closeTimeout are therefore closed at once.
func closeServer(ctx context.Context, server httpServer, log logr.Logger) {
	catchUp(ctx)
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err == nil {
		return
	}
	if err := server.Close(); err != nil {
		log.Error(err, "closing HTTP connections failed")
	}
}

// deadlineOf returns the deadline of a context, or the present time when it has
// none.
func deadlineOf(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now()
}

// dump adds the state of the role to roles, under the name of the role.
func (f *fleet) dump(roles map[string]any) {
	if f.member != nil {
		roles[config.RoleMember] = f.member.Dump()
	}
	if f.dispatcher != nil {
		roles[config.RoleDispatcher] = f.dispatcher.Dump()
	}
	if f.runner != nil {
		roles[config.RoleRunner] = f.runner.Dump()
	}
}
