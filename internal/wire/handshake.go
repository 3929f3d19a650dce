package wire

import (
	"cmp"
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
)

// muxWindowBytes is the flow-control window of one stream.
const muxWindowBytes = 4 << 20

// newMux starts the stream multiplexer of a session. beforeClose is called
// before the connection closes, also when the multiplexer itself closes it.
func newMux(conn net.Conn, client bool, beforeClose func()) (*yamux.Session, error) {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.MaxStreamWindowSize = muxWindowBytes
	cfg.LogOutput = io.Discard
	coalescing := &coalescingConn{Conn: &closingConn{conn, beforeClose}}
	if client {
		return yamux.Client(coalescing, cfg)
	}
	return yamux.Server(coalescing, cfg)
}

func secureClient(ctx context.Context, conn net.Conn, cfg *tls.Config) (net.Conn, error) {
	if cfg == nil {
		return conn, nil
	}
	tlsConn := tls.Client(conn, cfg)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// openLanes creates the streams of the session. The client opens them and sends
// the number of the lane as the first byte of each; the server accepts them.
func (s *Session) openLanes(client bool) error {
	for i := range laneCount {
		conn, id, err := s.openLane(Lane(i), client)
		if err != nil {
			return eris.Wrap(err, "open lane")
		}
		if int(id) >= laneCount || s.lanes[id] != nil {
			return eris.New("wire: lane number is invalid or used twice")
		}
		s.lanes[id] = newLane(s, id, conn)
	}
	return nil
}

func (s *Session) openLane(id Lane, client bool) (net.Conn, Lane, error) {
	if client {
		conn, err := s.mux.Open()
		if err != nil {
			return nil, 0, err
		}
		_, err = conn.Write([]byte{byte(id)})
		return conn, id, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	conn, err := s.mux.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, 0, err
	}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, 0, err
	}
	var first [1]byte
	_, err = io.ReadFull(conn, first[:])
	return conn, Lane(first[0]), err
}

// exchangeHello sends the own hello message and checks that of the peer.
func (s *Session) exchangeHello() error {
	conn := s.lanes[LaneTraffic].conn
	own := s.opts.Hello()
	own.Version = Version
	message := newOutgoing(&wirepb.Envelope{Body: &wirepb.Envelope_Hello{Hello: own}})
	buf, _, err := appendFrame(nil, []outgoing{message}, s.meter)
	if err != nil {
		return err
	}
	// A peer that rejects this process may close the connection before the
	// write returns. Its hello, which shows the reason, has arrived by then.
	_, writeErr := conn.Write(buf)
	if err := conn.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return eris.Wrap(err, "set hello deadline")
	}
	frame, err := readFrame(conn)
	if err != nil {
		return eris.Wrap(cmp.Or(writeErr, err), "exchange hello")
	}
	if err := s.checkHello(own, frame); err != nil {
		return err
	}
	if writeErr != nil {
		return eris.Wrap(writeErr, "write hello")
	}
	for _, l := range s.lanes {
		if err := l.conn.SetDeadline(time.Time{}); err != nil {
			return eris.Wrap(err, "clear hello deadline")
		}
	}
	return nil
}

// checkHello stores the hello message of the peer and checks its version and
// cluster.
func (s *Session) checkHello(own *wirepb.Hello, frame *wirepb.Frame) error {
	if len(frame.Envelopes) != 1 || frame.Envelopes[0].GetHello() == nil {
		return eris.New("wire: first frame is not a single hello message")
	}
	s.peer = frame.Envelopes[0].GetHello()
	if s.peer.Version != Version {
		return eris.Wrapf(ErrWrongVersion, "peer has version %d", s.peer.Version)
	}
	if s.peer.Cluster != own.Cluster {
		return eris.Wrapf(ErrWrongCluster, "peer belongs to cluster %q", s.peer.Cluster)
	}
	return nil
}
