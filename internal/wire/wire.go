// Package wire carries protobuf messages between the system's processes over
// yamux sessions.
//
// A session has one ordered stream per lane. Messages that are queued together
// are sent in one frame, so batch sizes grow with load. A heartbeat is sent
// only on a session that is otherwise idle. A session on which nothing arrives
// for IdleTimeout is closed.
package wire

import (
	"cmp"
	"crypto/tls"
	"errors"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	wirepb "endivewing/api/endivewing/v1"
)

// Version is the protocol version of this build.
const Version = 1

// Lane selects a stream of a session. Messages on one lane stay in order;
// messages on different lanes do not.
type Lane byte

const (
	// LaneTraffic carries tasks, results and requests.
	LaneTraffic Lane = iota
	// LaneUrgent carries small messages that must not wait behind traffic.
	LaneUrgent

	laneCount = 2
)

const (
	// defaultHeartbeatInterval is the default time without a sent frame after which a
	// heartbeat is sent. It is also the interval between two checks, so up to
	// twice this time can pass without a frame.
	defaultHeartbeatInterval = time.Second
	// DefaultIdleTimeout is the default time without received bytes after which a
	// session is closed.
	DefaultIdleTimeout = 4 * time.Second

	// MaxFrameBytes limits the size of a received frame.
	MaxFrameBytes = 32 << 20
	// frameTargetBytes is the size at which a frame takes no further messages.
	frameTargetBytes = 256 << 10
	// maxQueuedBytes limits the bytes queued on one lane for a peer that reads
	// too slowly.
	maxQueuedBytes = 128 << 20

	handshakeTimeout = 3 * time.Second
	// ShortConnectInterval is a short value of Options.ConnectInterval for a peer that is
	// dialed until it responds.
	ShortConnectInterval = 150 * time.Millisecond
	lengthBytes          = 4
)

var (
	// ErrClosed is returned when the session has ended. It is unknown whether
	// messages sent shortly before have arrived.
	ErrClosed = errors.New("wire: session closed")
	// ErrQueueFull is returned when the peer reads too slowly. The message was
	// not sent, and the session is being closed.
	ErrQueueFull = errors.New("wire: send queue full")
	// ErrFrameTooLarge is returned for a frame larger than MaxFrameBytes.
	ErrFrameTooLarge = errors.New("wire: frame too large")
	// ErrWrongVersion is returned for a peer with another protocol version.
	ErrWrongVersion = errors.New("wire: wrong protocol version")
	// ErrWrongCluster is returned for a peer of another deployment.
	ErrWrongCluster = errors.New("wire: wrong cluster")
)

func (o *Options) heartbeatInterval() time.Duration {
	return cmp.Or(o.HeartbeatInterval, defaultHeartbeatInterval)
}

func (o *Options) connectInterval() time.Duration { return cmp.Or(o.ConnectInterval, handshakeTimeout) }

func (o *Options) idleTimeout() time.Duration { return cmp.Or(o.IdleTimeout, DefaultIdleTimeout) }

// Handler receives each message of a peer that is not a reply. It is called
// from one goroutine per lane, in the order of the lane, and must not block for
// long.
type Handler func(s *Session, e *wirepb.Envelope)

// Options configures the sessions of a process.
type Options struct {
	// Hello returns the process's own hello message. Its incarnation may differ
	// from one session to the next.
	Hello func() *wirepb.Hello
	// Handler receives the messages of the peers.
	Handler Handler
	// OnClosed is called once when a session has ended and Handler is not called
	// for it any more. It may be nil.
	OnClosed func(s *Session)
	// TLS secures the sessions unless it is nil.
	TLS *tls.Config
	// ConnectInterval is the time without an answer after which Dial makes another TCP
	// connection attempt beside the earlier ones. 0 means handshakeTimeout, which bounds
	// all of them.
	ConnectInterval time.Duration
	// HeartbeatInterval is the time without a sent frame after which a heartbeat is
	// sent. 0 means defaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// IdleTimeout is the time without received bytes after which a session is closed.
	// 0 means IdleTimeout.
	IdleTimeout time.Duration
	// IgnoreLocalStalls excludes periods in which this process had no processor time
	// from the silence of the peer, because bytes that arrived then still wait
	// in the kernel. It must not be set where other processes rely on the time
	// at which a silent session ends.
	IgnoreLocalStalls bool
	// Scope receives the counts of messages and bytes by kind. It may be nil.
	Scope tally.Scope
	Log   logr.Logger
}
