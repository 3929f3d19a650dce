package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
)

// readBufferBytes is the size of each lane's read buffer. A larger frame is
// read past it.
var readBufferBytes = [laneCount]int{LaneTraffic: 16 << 10, LaneUrgent: 2 << 10}

// lane is one ordered stream of a session with its send queue.
type lane struct {
	s    *Session
	on   Lane
	conn net.Conn

	mu     sync.Mutex
	wake   *sync.Cond
	queue  []outgoing
	queued int // bytes
	beat   bool
	closed bool
}

func newLane(s *Session, on Lane, conn net.Conn) *lane {
	l := &lane{s: s, on: on, conn: conn}
	l.wake = sync.NewCond(&l.mu)
	return l
}

// outgoing is a message with its size, which is counted once.
type outgoing struct {
	envelope *wirepb.Envelope
	bytes    int
}

func newOutgoing(e *wirepb.Envelope) outgoing { return outgoing{envelope: e, bytes: proto.Size(e)} }

// push queues a message for the writer.
func (l *lane) push(e *wirepb.Envelope) error {
	o := newOutgoing(e)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	if l.queued+o.bytes > maxQueuedBytes {
		go l.s.Close()
		return ErrQueueFull
	}
	l.queue = append(l.queue, o)
	l.queued += o.bytes
	l.wake.Signal()
	return nil
}

// heartbeat asks for an empty frame.
func (l *lane) heartbeat() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.beat = true
	l.wake.Signal()
}

// close ends the writer; what still waits is dropped.
func (l *lane) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.wake.Signal()
}

// take waits for messages and returns all that wait; ok is false at the end.
func (l *lane) take() (batch []outgoing, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) == 0 && !l.beat && !l.closed {
		l.wake.Wait()
	}
	if l.closed {
		return nil, false
	}
	batch = l.queue
	l.queue = nil
	l.queued = 0
	l.beat = false
	l.s.sent.Store(time.Now().UnixNano())
	return batch, true
}

// writeLoop writes frames until the session ends.
func (l *lane) writeLoop() {
	defer l.s.Close()
	var buf []byte
	for {
		batch, ok := l.take()
		if !ok {
			return
		}
		if len(batch) == 0 {
			l.s.meter.sentHeartbeat()
		}
		for first := true; first || len(batch) > 0; first = false {
			var err error
			buf, batch, err = appendFrame(buf[:0], batch, l.s.meter)
			if err == nil {
				_, err = l.conn.Write(buf)
			}
			if err != nil {
				return
			}
		}
	}
}

// appendFrame appends one frame with the first messages of batch and returns
// the rest.
func appendFrame(buf []byte, batch []outgoing, m *meter) ([]byte, []outgoing, error) {
	start := len(buf)
	buf = append(buf, make([]byte, lengthBytes)...)
	frame := wirepb.Frame{Envelopes: make([]*wirepb.Envelope, 0, len(batch))}
	size := 0
	n := 0
	for n < len(batch) && size < frameTargetBytes {
		m.sent(batch[n].envelope, batch[n].bytes)
		frame.Envelopes = append(frame.Envelopes, batch[n].envelope)
		size += batch[n].bytes
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
	defer l.s.Close()
	r := bufio.NewReaderSize(&stampingReader{s: l.s, r: l.conn}, readBufferBytes[l.on])
	for {
		frame, err := readFrame(r)
		if err != nil {
			if errors.Is(err, ErrFrameTooLarge) || errors.Is(err, proto.Error) {
				l.s.meter.dropped("bad_frame")
			}
			return
		}
		for _, e := range frame.Envelopes {
			l.s.meter.received(e)
			l.s.dispatch(e)
		}
	}
}

// readFrame reads one frame. Errors: those of r, ErrFrameTooLarge, proto.Error.
func readFrame(r io.Reader) (*wirepb.Frame, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(head[:])
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

// stampingReader notes when bytes arrive, so that a long frame on a slow link
// counts as a sign of life.
type stampingReader struct {
	s *Session
	r io.Reader
}

// Read implements io.Reader.
func (r *stampingReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		r.s.received.Store(time.Now().UnixNano())
	}
	return n, err
}
