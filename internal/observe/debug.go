package observe

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
)

// headerTimeout is the time limit for reading the header of a request.
const headerTimeout = 5 * time.Second

// DebugServer serves the state dump, the metrics and the liveness check of a
// process over HTTP.
type DebugServer struct {
	listener net.Listener
	server   *http.Server
}

// StartDebug listens on an address and serves until Stop is called. dump is called
// for each request of /debug/state, and its result is written as JSON.
func StartDebug(address string, dump func() any, metrics *Metrics) (*DebugServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	d := &DebugServer{listener: l, server: &http.Server{
		Handler:           debugRoutes(dump, metrics),
		ReadHeaderTimeout: headerTimeout,
	}}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

func debugRoutes(dump func() any, metrics *Metrics) http.Handler {
	e := echo.New()
	e.GET("/debug/state", func(c echo.Context) error {
		return c.JSONPretty(http.StatusOK, dump(), "  ")
	})
	e.GET("/metrics", echo.WrapHandler(metrics.Handler()))
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	return e
}

// Address returns the listen address, with the port that the kernel chose.
func (d *DebugServer) Address() string { return d.listener.Addr().String() }

// Stop stops the server. Requests in flight are aborted when the context ends.
func (d *DebugServer) Stop(ctx context.Context) {
	if err := d.server.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
		_ = d.server.Close()
	}
}
