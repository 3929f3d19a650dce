package control

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/ledger"
	"endivewing/internal/snapshot"
	"endivewing/internal/wire"
)

const (
	snapshotChunkBytes   = 512 << 10
	snapshotChunkTimeout = 10 * time.Second
	// snapshotSendBackoff is the pause after a snapshot could not be sent.
	snapshotSendBackoff = 200 * time.Millisecond
)

// snapshotTransfers sends and receives snapshots, outside the loop. It is safe
// for concurrent use.
type snapshotTransfers struct {
	p          *Process
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	// startMu is held while the first chunk of a snapshot ends all other
	// incoming snapshots.
	startMu sync.Mutex

	mu sync.Mutex
	// sending holds the IDs of the members that a snapshot is being sent to.
	sending map[uint64]bool
	// incoming are the snapshots being received, by session.
	incoming map[*wire.Session]*incoming
}

// incoming is a snapshot being received. The end of its session may abort it
// while a chunk is being written.
type incoming struct {
	offer *wirepb.CoreMessage

	mu     sync.Mutex
	writer *snapshot.Writer
	offset uint64 // of the next chunk, in bytes
}

// add writes a chunk. After the last chunk it makes the snapshot durable.
func (in *incoming) add(chunk *wirepb.SnapshotChunk) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if chunk.Offset != in.offset {
		return eris.Errorf("snapshot chunk at offset %d, expected %d", chunk.Offset, in.offset)
	}
	if _, err := in.writer.Write(chunk.Data); err != nil {
		return err
	}
	in.offset += uint64(len(chunk.Data))
	if !chunk.Last {
		return nil
	}
	return in.writer.Commit()
}

func (in *incoming) abort() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.writer.Abort()
}

func (t *snapshotTransfers) init(p *Process) {
	t.p = p
	t.ctx, t.stop = context.WithCancel(context.Background())
	t.sending = map[uint64]bool{}
	t.incoming = map[*wire.Session]*incoming{}
}

func (t *snapshotTransfers) close() {
	t.stop()
	t.goroutines.Wait()
	t.dropAll()
}

// startSend starts to send the newest snapshot to the member that an
// InstallSnapshot message is addressed to. It does nothing if a transfer to that
// member is in progress.
func (t *snapshotTransfers) startSend(m *wirepb.CoreMessage) {
	t.mu.Lock()
	busy := t.sending[m.To]
	t.sending[m.To] = true
	t.mu.Unlock()
	if busy {
		return
	}
	t.goroutines.Go(func() {
		err := t.send(m)
		if err == nil {
			t.sendEnded(m.To)
			return
		}
		t.p.opts.Log.V(1).Info("snapshot not sent", "member", m.To, "error", err.Error())
		t.reportFailureLater(m.To)
	})
}

func (t *snapshotTransfers) sendEnded(to uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sending, to)
}

// reportFailureLater reports a failed transfer to the core after a pause.
// Without the pause, a member that is down would cause the snapshot to be read
// over and over.
func (t *snapshotTransfers) reportFailureLater(to uint64) {
	select {
	case <-time.After(snapshotSendBackoff):
		t.sendEnded(to) // before the core offers a snapshot again
		t.p.enqueue(snapshotNotSent{to})
	case <-t.ctx.Done():
	}
}

// send sends the newest snapshot in chunks. The first chunk carries the
// InstallSnapshot message.
func (t *snapshotTransfers) send(m *wirepb.CoreMessage) error {
	s := t.p.peers.session(m.To)
	if s == nil {
		return eris.New("no session")
	}
	r, _, err := snapshot.OpenNewest(t.p.snapshotDir())
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }()
	offer := proto.CloneOf(m)
	offer.GetInstallSnapshot().Meta = r.Meta()
	for chunk := (&wirepb.SnapshotChunk{Offer: offer}); ; {
		data := make([]byte, snapshotChunkBytes)
		n, err := io.ReadFull(r, data)
		chunk.Data = data[:n]
		chunk.Last = errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		if err != nil && !chunk.Last {
			return err
		}
		if err := t.sendChunk(s, chunk); err != nil || chunk.Last {
			return err
		}
		chunk = &wirepb.SnapshotChunk{Offset: chunk.Offset + uint64(n)}
	}
}

func (t *snapshotTransfers) sendChunk(s *wire.Session, chunk *wirepb.SnapshotChunk) error {
	ctx, cancel := context.WithTimeout(t.ctx, snapshotChunkTimeout)
	defer cancel()
	_, err := s.Call(ctx, wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_SnapshotChunk{SnapshotChunk: chunk}})
	return err
}

// receive handles one chunk of a snapshot and replies to it. After the last
// chunk it passes the snapshot to the loop.
func (t *snapshotTransfers) receive(from caller, chunk *wirepb.SnapshotChunk) {
	done, err := t.write(from.session, chunk)
	if err != nil {
		t.dropSession(from.session)
		t.p.opts.Log.Error(err, "snapshot not received")
		from.replyFault(wirepb.FaultCode_FAULT_CODE_UNAVAILABLE, err.Error(), "")
		return
	}
	if done != nil {
		t.p.enqueue(*done)
	}
	response := &wirepb.SnapshotChunkResponse{}
	from.reply(&wirepb.Envelope{Body: &wirepb.Envelope_SnapshotChunkResponse{SnapshotChunkResponse: response}})
}

// write writes one chunk. After the last chunk it returns the decoded snapshot,
// otherwise nil.
func (t *snapshotTransfers) write(s *wire.Session, chunk *wirepb.SnapshotChunk) (*snapshotReceived, error) {
	in, err := t.incomingFor(s, chunk)
	if err != nil {
		return nil, err
	}
	if err := in.add(chunk); err != nil || !chunk.Last {
		return nil, err
	}
	t.dropSession(s)
	return t.decodeNewest(in.offer)
}

// incomingFor returns the snapshot that a chunk belongs to. A chunk with an
// offer starts a snapshot and aborts all others, because two snapshots with the
// same index would write to the same file.
func (t *snapshotTransfers) incomingFor(s *wire.Session, chunk *wirepb.SnapshotChunk) (*incoming, error) {
	if chunk.Offer == nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		if in := t.incoming[s]; in != nil {
			return in, nil
		}
		return nil, eris.New("snapshot chunk without an offer")
	}
	t.startMu.Lock()
	defer t.startMu.Unlock()
	t.dropAll()
	w, err := snapshot.Create(t.p.snapshotDir(), chunk.Offer.GetInstallSnapshot().GetMeta())
	if err != nil {
		return nil, err
	}
	in := &incoming{offer: chunk.Offer, writer: w}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incoming[s] = in
	return in, nil
}

// decodeNewest reads the snapshot back from the disk, so that the ledger has the
// same state as after a restart.
func (t *snapshotTransfers) decodeNewest(offer *wirepb.CoreMessage) (*snapshotReceived, error) {
	r, _, err := snapshot.OpenNewest(t.p.snapshotDir())
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Close() }()
	state, err := ledger.Decode(r)
	if err != nil {
		return nil, err
	}
	offer = proto.CloneOf(offer)
	offer.GetInstallSnapshot().Meta = r.Meta()
	return &snapshotReceived{offer: offer, state: state}, nil
}

// dropSession aborts the snapshot being received on a session, if any.
func (t *snapshotTransfers) dropSession(s *wire.Session) {
	t.mu.Lock()
	in := t.incoming[s]
	delete(t.incoming, s)
	t.mu.Unlock()
	if in != nil {
		in.abort()
	}
}

// dropAll aborts all snapshots being received.
func (t *snapshotTransfers) dropAll() {
	t.mu.Lock()
	all := t.incoming
	t.incoming = map[*wire.Session]*incoming{}
	t.mu.Unlock()
	for _, in := range all {
		in.abort()
	}
}
