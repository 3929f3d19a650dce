// Package wire carries protobuf messages between the system's processes over
// yamux sessions.
//
// A session has one ordered stream per lane. Messages that wait together leave
// in one frame, so batches form by themselves under load. A heartbeat is sent
// only on a session that was idle; one from which nothing arrives for
// IdleTimeout is closed.
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

// Version is the protocol version that this build speaks.
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
	// heartbeatInterval is how long nothing is sent on a session before a
	// heartbeat is. It is looked at as often, so a silence may be twice as long.
	heartbeatInterval = time.Second
	// IdleTimeout is how long nothing may arrive before the session is closed.
	IdleTimeout = 4 * time.Second

	// MaxFrameBytes bounds the frame that a peer may send.
	MaxFrameBytes = 32 << 20
	// frameTargetBytes is the size at which a batch is cut.
	frameTargetBytes = 256 << 10
	// maxQueuedBytes bounds what waits for a peer that does not read.
	maxQueuedBytes = 128 << 20

	handshakeTimeout = 3 * time.Second
	// QuickConnect is for Options.Connect where the peer is dialed again until it
	// answers: a host without power answers nothing, and the next try reaches it
	// as soon as it is back.
	QuickConnect = 150 * time.Millisecond
	lengthBytes  = 4
)

var (
	// ErrClosed is returned when the session has ended. Whether messages sent
	// shortly before have arrived is unknown.
	ErrClosed = errors.New("wire: session closed")
	// ErrQueueFull is returned when the peer reads too slowly; the message was
	// not sent and the session is being closed.
	ErrQueueFull = errors.New("wire: send queue full")
	// ErrFrameTooLarge is returned for a frame over MaxFrameBytes.
	ErrFrameTooLarge = errors.New("wire: frame too large")
	// ErrWrongVersion is returned for a peer that speaks another version.
	ErrWrongVersion = errors.New("wire: wrong protocol version")
	// ErrWrongCluster is returned for a peer of another deployment.
	ErrWrongCluster = errors.New("wire: wrong cluster")
)

func (o *Options) heartbeat() time.Duration { return cmp.Or(o.Heartbeat, heartbeatInterval) }

func (o *Options) connect() time.Duration { return cmp.Or(o.Connect, handshakeTimeout) }

func (o *Options) idle() time.Duration { return cmp.Or(o.Idle, IdleTimeout) }

// Handler receives each message of a peer. It is called from one goroutine
// per lane, in the lane's order, and must not block for long.
type Handler func(s *Session, e *wirepb.Envelope)

// Options are the settings of a process's sessions.
type Options struct {
	// Hello returns what the process says about itself; its incarnation may
	// change from one session to the next.
	Hello func() *wirepb.Hello
	// Handler receives the messages.
	Handler Handler
	// Closed is called once when a session has ended; it may be nil.
	Closed func(s *Session)
	// TLS secures the sessions when set.
	TLS *tls.Config
	// Connect bounds how long Dial waits for the connection, before the
	// handshake; 0 is handshakeTimeout.
	Connect time.Duration
	// Heartbeat is how long nothing is sent before a heartbeat is; 0 is
	// heartbeatInterval.
	Heartbeat time.Duration
	// Idle is how long nothing may arrive before the session is closed; 0 is
	// IdleTimeout.
	Idle time.Duration
	// PatientIdle: time in which this process had no processor time does not
	// count as silence of the peer, whose messages wait in the kernel. It is for
	// sessions on whose end nobody has to act at a known time.
	PatientIdle bool
	// Scope receives the counts of messages and bytes by kind.
	Scope tally.Scope
	Log   logr.Logger
}
