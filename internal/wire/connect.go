package wire

import (
	"context"
	"net"
	"time"
)

// connected is the outcome of a connection attempt.
type connected struct {
	conn net.Conn
	err  error
}

// connect opens a TCP connection. A host that is powered off does not answer, so after
// each retryInterval without an answer there is one attempt more, and one of them reaches
// the host soon after it is back. The earlier ones go on: a process without processor time
// learns late that an attempt has succeeded, and would give up every one. The first that
// succeeds, or is refused, decides; all end after handshakeTimeout.
func connect(ctx context.Context, address string, retryInterval time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel() // ends the other attempts
	outcomes := make(chan connected)
	next := time.NewTicker(retryInterval)
	defer next.Stop()
	for {
		go attempt(ctx, address, outcomes)
		select {
		case <-next.C:
		case first := <-outcomes:
			return first.conn, first.err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// attempt tries to connect once. Its outcome is dropped when ctx has ended.
func attempt(ctx context.Context, address string, outcomes chan<- connected) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	select {
	case outcomes <- connected{conn, err}:
	case <-ctx.Done():
		if conn != nil {
			_ = conn.Close()
		}
	}
}
