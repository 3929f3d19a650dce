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

func newMux(conn net.Conn, client bool) (*yamux.Session, error) {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.MaxStreamWindowSize = muxWindowBytes
	cfg.LogOutput = io.Discard
	joined := &joiningConn{Conn: conn}
	if client {
		return yamux.Client(joined, cfg)
	}
	return yamux.Server(joined, cfg)
}

func secureClient(ctx context.Context, conn net.Conn, cfg *tls.Config) (net.Conn, error) {
	if cfg == nil {
		return conn, nil
	}
	secured := tls.Client(conn, cfg)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secured, nil
}

// openLanes makes the session's streams: the client opens them and names each
// lane in its first byte.
func (s *Session) openLanes(client bool) error {
	for i := range laneCount {
		conn, on, err := s.openLane(Lane(i), client)
		if err != nil {
			return eris.Wrap(err, "open lane")
		}
		if int(on) >= laneCount || s.lanes[on] != nil {
			return eris.New("wire: bad lane")
		}
		s.lanes[on] = newLane(s, on, conn)
	}
	return nil
}

func (s *Session) openLane(want Lane, client bool) (net.Conn, Lane, error) {
	if client {
		conn, err := s.mux.Open()
		if err != nil {
			return nil, 0, err
		}
		_, err = conn.Write([]byte{byte(want)})
		return conn, want, err
	}
	ctx, stop := context.WithTimeout(context.Background(), handshakeTimeout)
	defer stop()
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

// exchangeHello sends this side's hello and checks the other's.
func (s *Session) exchangeHello() error {
	conn := s.lanes[LaneTraffic].conn
	mine := s.opts.Hello()
	mine.Version = Version
	out := newOutgoing(&wirepb.Envelope{Body: &wirepb.Envelope_Hello{Hello: mine}})
	buf, _, err := appendFrame(nil, []outgoing{out}, s.meter)
	if err != nil {
		return err
	}
	// A peer that does not want us may close before the write returns; its
	// hello, which tells why, has then arrived.
	_, writeErr := conn.Write(buf)
	if err := conn.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return eris.Wrap(err, "set hello deadline")
	}
	frame, err := readFrame(conn)
	if err != nil {
		return eris.Wrap(cmp.Or(writeErr, err), "exchange hello")
	}
	if err := s.checkHello(mine, frame); err != nil {
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

func (s *Session) checkHello(mine *wirepb.Hello, frame *wirepb.Frame) error {
	if len(frame.Envelopes) != 1 || frame.Envelopes[0].GetHello() == nil {
		return eris.New("wire: no hello")
	}
	s.peer = frame.Envelopes[0].GetHello()
	if s.peer.Version != Version {
		return eris.Wrapf(ErrWrongVersion, "peer speaks %d", s.peer.Version)
	}
	if s.peer.Cluster != mine.Cluster {
		return eris.Wrapf(ErrWrongCluster, "peer is of %q", s.peer.Cluster)
	}
	return nil
}
