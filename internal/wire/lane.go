package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
)

// readBufferBytes is the size of each lane's read buffer. Larger frames bypass
// the buffer.
var readBufferBytes = [laneCount]int{LaneTraffic: 16 << 10, LaneUrgent: 2 << 10}

// lane is one ordered stream of a session with its send queue.
type lane struct {
	session *Session
	id      Lane
	conn    net.Conn

	mu               sync.Mutex
	cond             *sync.Cond
	queue            []outgoing
	queuedBytes      int
	heartbeatPending bool
	closed           bool
}

func newLane(s *Session, id Lane, conn net.Conn) *lane {
	l := &lane{session: s, id: id, conn: conn}
	l.cond = sync.NewCond(&l.mu)
	return l
}

// outgoing is a queued message with its encoded size in bytes, which is
// computed once.
type outgoing struct {
	envelope *wirepb.Envelope
	size     int
}

func newOutgoing(e *wirepb.Envelope) outgoing { return outgoing{envelope: e, size: proto.Size(e)} }

// enqueue queues a message for the writer. Errors: ErrClosed, ErrQueueFull.
func (l *lane) enqueue(e *wirepb.Envelope) error {
	o := newOutgoing(e)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	if l.queuedBytes+o.size > maxQueuedBytes {
		go l.session.Close()
		return ErrQueueFull
	}
	l.queue = append(l.queue, o)
	l.queuedBytes += o.size
	l.cond.Signal()
	return nil
}

// enqueueHeartbeat makes the writer send an empty frame if no message is
// queued.
func (l *lane) enqueueHeartbeat() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heartbeatPending = true
	l.cond.Signal()
}

// close stops the writer. Queued messages are dropped.
func (l *lane) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.cond.Signal()
}

// nextBatch waits for messages and returns all queued ones. The batch is empty
// for a heartbeat; ok is false when the lane is closed.
func (l *lane) nextBatch() (batch []outgoing, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) == 0 && !l.heartbeatPending && !l.closed {
		l.cond.Wait()
	}
	if l.closed {
		return nil, false
	}
	batch = l.queue
	l.queue = nil
	l.queuedBytes = 0
	l.heartbeatPending = false
	l.session.sent.record()
	return batch, true
}

// writeLoop writes frames until the session ends.
func (l *lane) writeLoop() {
	defer l.session.Close()
	var buf []byte
	for {
		batch, ok := l.nextBatch()
		if !ok {
			return
		}
		if len(batch) == 0 {
			l.session.meter.sentHeartbeat()
		}
		for first := true; first || len(batch) > 0; first = false {
			var err error
			buf, batch, err = appendFrame(buf[:0], batch, l.session.meter)
			if err == nil {
				_, err = l.conn.Write(buf)
			}
			if err != nil {
				return
			}
		}
	}
}

// appendFrame appends one frame with the first messages of batch to buf and
// returns buf and the remaining messages.
func appendFrame(buf []byte, batch []outgoing, m *meter) ([]byte, []outgoing, error) {
	start := len(buf)
	buf = append(buf, make([]byte, lengthBytes)...)
	frame := wirepb.Frame{Envelopes: make([]*wirepb.Envelope, 0, len(batch))}
	frameBytes := 0
	n := 0
	for n < len(batch) && frameBytes < frameTargetBytes {
		m.sent(batch[n].envelope, batch[n].size)
		frame.Envelopes = append(frame.Envelopes, batch[n].envelope)
		frameBytes += batch[n].size
		n++
	}
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, &frame)
	if err != nil {
		return nil, nil, eris.Wrap(err, "marshal frame")
	}
	length := len(buf) - start - lengthBytes
	if length > MaxFrameBytes {
		return nil, nil, ErrFrameTooLarge
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(length))
	return buf, batch[n:], nil
}

// readLoop delivers received messages until the session ends.
func (l *lane) readLoop() {
	defer l.session.Close()
	r := bufio.NewReaderSize(&activityReader{session: l.session, r: l.conn}, readBufferBytes[l.id])
	for {
		frame, err := readFrame(r)
		if err != nil {
			if errors.Is(err, ErrFrameTooLarge) || errors.Is(err, proto.Error) {
				l.session.meter.dropped("bad_frame")
			}
			return
		}
		for _, e := range frame.Envelopes {
			l.session.meter.received(e)
			l.session.deliver(e)
		}
	}
}

// readFrame reads one frame. Errors: those of r, ErrFrameTooLarge, proto.Error.
func readFrame(r io.Reader) (*wirepb.Frame, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	frame := new(wirepb.Frame)
	if err := proto.Unmarshal(body, frame); err != nil {
		return nil, err
	}
	return frame, nil
}

// activityReader records the time at which bytes arrive, so that the session is
// not closed as silent while a long frame arrives over a slow link.
type activityReader struct {
	session *Session
	r       io.Reader
}

// Read implements io.Reader.
func (r *activityReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		r.session.received.record()
	}
	return n, err
}
