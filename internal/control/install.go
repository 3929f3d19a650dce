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
	chunkBytes   = 512 << 10
	chunkTimeout = 10 * time.Second
	// offerRetry is the pause after a snapshot that could not be sent.
	offerRetry = 200 * time.Millisecond
)

// installs moves snapshots between members, outside the loop.
type installs struct {
	p    *Process
	ctx  context.Context
	stop context.CancelFunc
	wait sync.WaitGroup

	// begin is held while one arriving snapshot takes the place of others.
	begin sync.Mutex

	mu      sync.Mutex
	sending map[uint64]bool
	// incoming are the snapshots that arrive, by session.
	incoming map[*wire.Session]*incoming
}

// incoming is a snapshot that arrives. Its session's end may drop it while a
// chunk is written.
type incoming struct {
	offer *wirepb.CoreMessage

	mu     sync.Mutex
	writer *snapshot.Writer
	offset uint64
}

// add writes a chunk; the last one makes the snapshot durable.
func (in *incoming) add(chunk *wirepb.SnapshotChunk) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if chunk.Offset != in.offset {
		return eris.Errorf("chunk at %d, want %d", chunk.Offset, in.offset)
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

func (x *installs) init(p *Process) {
	x.p = p
	x.ctx, x.stop = context.WithCancel(context.Background())
	x.sending = map[uint64]bool{}
	x.incoming = map[*wire.Session]*incoming{}
}

func (x *installs) close() {
	x.stop()
	x.wait.Wait()
	x.dropAll()
}

// offer sends the newest snapshot to the member that a message is for.
func (x *installs) offer(m *wirepb.CoreMessage) {
	x.mu.Lock()
	busy := x.sending[m.To]
	x.sending[m.To] = true
	x.mu.Unlock()
	if busy {
		return
	}
	x.wait.Go(func() {
		err := x.send(m)
		if err == nil {
			x.sent(m.To)
			return
		}
		x.p.opts.Log.V(1).Info("snapshot not sent", "member", m.To, "error", err.Error())
		x.retryLater(m.To)
	})
}

func (x *installs) sent(to uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.sending, to)
}

// retryLater tells the core after a pause, so that a member that is down does
// not cost a reading of the snapshot at each try.
func (x *installs) retryLater(to uint64) {
	select {
	case <-time.After(offerRetry):
		x.sent(to) // before the core offers again
		x.p.post(snapshotNotSent{to})
	case <-x.ctx.Done():
	}
}

func (x *installs) send(m *wirepb.CoreMessage) error {
	s := x.p.peers.session(m.To)
	if s == nil {
		return eris.New("no session")
	}
	r, _, err := snapshot.Newest(x.p.snapshotDir())
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }()
	offer := proto.CloneOf(m)
	offer.GetInstallSnapshot().Meta = r.Meta()
	for chunk := (&wirepb.SnapshotChunk{Offer: offer}); ; {
		data := make([]byte, chunkBytes)
		n, err := io.ReadFull(r, data)
		chunk.Data = data[:n]
		chunk.Last = errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		if err != nil && !chunk.Last {
			return err
		}
		if err := x.sendChunk(s, chunk); err != nil || chunk.Last {
			return err
		}
		chunk = &wirepb.SnapshotChunk{Offset: chunk.Offset + uint64(n)}
	}
}

func (x *installs) sendChunk(s *wire.Session, chunk *wirepb.SnapshotChunk) error {
	ctx, cancel := context.WithTimeout(x.ctx, chunkTimeout)
	defer cancel()
	_, err := s.Call(ctx, wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_SnapshotChunk{SnapshotChunk: chunk}})
	return err
}

// receive writes one chunk; the last one makes the snapshot durable.
func (x *installs) receive(from caller, chunk *wirepb.SnapshotChunk) {
	done, err := x.write(from.session, chunk)
	if err != nil {
		x.drop(from.session)
		x.p.opts.Log.Error(err, "snapshot not received")
		from.fault(wirepb.FaultCode_FAULT_CODE_UNAVAILABLE, err.Error(), "")
		return
	}
	if done != nil {
		x.p.post(*done)
	}
	response := &wirepb.SnapshotChunkResponse{}
	from.reply(&wirepb.Envelope{Body: &wirepb.Envelope_SnapshotChunkResponse{SnapshotChunkResponse: response}})
}

func (x *installs) write(s *wire.Session, chunk *wirepb.SnapshotChunk) (*snapshotOffered, error) {
	in, err := x.arriving(s, chunk)
	if err != nil {
		return nil, err
	}
	if err := in.add(chunk); err != nil || !chunk.Last {
		return nil, err
	}
	x.drop(s)
	return x.decode(in.offer)
}

// arriving returns the snapshot that a chunk belongs to. An offer begins one
// and ends any other: two with one index would write the same file.
func (x *installs) arriving(s *wire.Session, chunk *wirepb.SnapshotChunk) (*incoming, error) {
	if chunk.Offer == nil {
		x.mu.Lock()
		defer x.mu.Unlock()
		if in := x.incoming[s]; in != nil {
			return in, nil
		}
		return nil, eris.New("chunk without an offer")
	}
	x.begin.Lock()
	defer x.begin.Unlock()
	x.dropAll()
	w, err := snapshot.Create(x.p.snapshotDir(), chunk.Offer.GetInstallSnapshot().GetMeta())
	if err != nil {
		return nil, err
	}
	in := &incoming{offer: chunk.Offer, writer: w}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.incoming[s] = in
	return in, nil
}

// decode reads the snapshot back from the disk, so that what the ledger holds
// is what a restart would find.
func (x *installs) decode(offer *wirepb.CoreMessage) (*snapshotOffered, error) {
	r, _, err := snapshot.Newest(x.p.snapshotDir())
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
	return &snapshotOffered{offer: offer, state: state}, nil
}

// drop ends what arrives on a session.
func (x *installs) drop(s *wire.Session) {
	x.mu.Lock()
	in := x.incoming[s]
	delete(x.incoming, s)
	x.mu.Unlock()
	if in != nil {
		in.abort()
	}
}

func (x *installs) dropAll() {
	x.mu.Lock()
	all := x.incoming
	x.incoming = map[*wire.Session]*incoming{}
	x.mu.Unlock()
	for _, in := range all {
		in.abort()
	}
}
