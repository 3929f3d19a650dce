package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"reflect"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
)

// readBufferBytes is the size of each lane's read buffer. Larger frames bypass
// the buffer.
var readBufferBytes = [laneCount]int{LaneTraffic: 16 << 10, LaneUrgent: 2 << 10}

// maxWriteBytes is the size of the largest write to a stream. The multiplexer sends each
// write as one frame of its own: the other lane waits for the whole of it, and while it
// arrives, nothing can be read on its stream.
const maxWriteBytes = 16 << 10

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
		// No later message may be sent, or the peer would miss this one only.
		l.closed = true
		l.cond.Signal()
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
	l.session.lastSent.setNow()
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
			buf, batch, err = l.encodeFrame(buf[:0], batch)
			if err == nil {
				err = l.write(buf)
			}
			if err != nil {
				return
			}
		}
	}
}

// write writes a frame in parts of at most maxWriteBytes.
func (l *lane) write(frame []byte) error {
	for part := range slices.Chunk(frame, maxWriteBytes) {
		if _, err := l.conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// encodeFrame does what appendFrame does, but leaves out messages that can't be
// encoded, such as one with a string that is no text. They must not end the session:
// the next one would get the same message.
func (l *lane) encodeFrame(buf []byte, batch []outgoing) ([]byte, []outgoing, error) {
	frame, rest, err := appendFrame(buf, batch, l.session.meter)
	if !errors.Is(err, errNotEncoded) {
		return frame, rest, err
	}
	return appendFrame(buf, l.encodable(batch), l.session.meter)
}

// encodable returns the messages of a batch that can be encoded.
func (l *lane) encodable(batch []outgoing) []outgoing {
	var kept []outgoing
	for _, o := range batch {
		if _, err := proto.Marshal(o.envelope); err != nil {
			l.session.meter.dropped("not_encoded")
			l.session.opts.Log.Error(err, "message not sent", "peer", l.session.peer.GetName(), "kind", kindName(reflect.TypeOf(o.envelope.Body)))
			continue
		}
		kept = append(kept, o)
	}
	return kept
}

// errNotEncoded is wrapped by the error of a frame with a message that can't be
// encoded.
var errNotEncoded = errors.New("wire: message not encoded")

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
		return nil, nil, eris.Wrap(errors.Join(errNotEncoded, err), "marshal frame")
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
	defer l.session.readers.Done()
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
		r.session.lastReceived.setNow()
	}
	return n, err
}
