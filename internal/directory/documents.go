package directory

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"hash/fnv"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/sleep"
	"endivewing/internal/wire"
)

const (
	// hedgeDelay is how long a request for a document waits until a further member is
	// asked, which may be faster. The first request goes on, since on a slow link
	// nothing else would come sooner.
	hedgeDelay = 400 * time.Millisecond
	// maxOpenRequests bounds the requests for one document that are open at a time.
	maxOpenRequests = 3
	// restFactor is how many times as long as a document took to be applied the next one
	// is left alone, up to maxRest. A series of large documents would take the processor
	// from the callers otherwise.
	restFactor = 2
	maxRest    = 500 * time.Millisecond
)

// offer records which document a member has. The caller holds mu.
func (c *Client) offer(m *member, version uint64) {
	m.offeredVersion = max(m.offeredVersion, version)
	if version <= c.document.GetVersion() {
		return
	}
	select {
	case c.documentOffered <- struct{}{}:
	default: // it is awake already
	}
}

// fetchDocuments requests each newer document that members offer, until the client is
// closed. Documents that were overtaken by a newer one meanwhile are not requested.
func (c *Client) fetchDocuments() {
	for {
		select {
		case <-c.documentOffered:
		case <-c.ctx.Done():
			return
		}
		for c.ctx.Err() == nil && c.isNewerOffered() {
			took := c.fetchDocument()
			sleep.For(c.ctx, min(restFactor*took, maxRest))
		}
	}
}

// isNewerOffered reports whether a connected member has a newer document.
func (c *Client) isNewerOffered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sources()) > 0
}

// sources returns the connected members that have a newer document, the best one first:
// that with the newest document, then one in the same zone. Processes choose differently
// among equal ones. The caller holds mu.
func (c *Client) sources() []*member {
	var sources []*member
	for _, m := range c.members {
		if m.session != nil && m.offeredVersion > c.document.GetVersion() {
			sources = append(sources, m)
		}
	}
	own := c.opts.Wire.Hello()
	slices.SortFunc(sources, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.offeredVersion, a.offeredVersion),
			cmp.Compare(distance(a, own), distance(b, own)),
			cmp.Compare(rank(a, own), rank(b, own)))
	})
	return sources
}

// distance is 0 for a member in the zone of a process, else 1.
func distance(m *member, own *wirepb.Hello) int {
	if m.session.Peer().GetZone() == own.GetZone() {
		return 0
	}
	return 1
}

// rank orders members in a way that differs from process to process.
func rank(m *member, own *wirepb.Hello) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, own.GetName()+"\n"+m.address) // never fails
	return h.Sum64()
}

// fetched is the outcome of a request for a document.
type fetched struct {
	document *wirepb.Document
	err      error
}

// fetchDocument requests the newest document from one member after the other until
// one answers: the next one after hedgeDelay, or at once after an error. A request ends
// with its session at the latest. It returns when there is a newer document, or when no
// member offers one any more, and says how long OnChange took.
func (c *Client) fetchDocument() (took time.Duration) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel() // gives up the requests that are still open
	asked := map[*wire.Session]bool{}
	replies := make(chan fetched)
	open := 0
	next := time.NewTimer(0)
	defer next.Stop()
	for c.isNewerOffered() {
		select {
		case <-next.C:
			if open < maxOpenRequests && c.askNext(ctx, asked, replies) {
				open++
			}
			next.Reset(hedgeDelay)
		case reply := <-replies:
			if reply.err == nil {
				began := time.Now()
				c.applyFetched(reply.document)
				return time.Since(began)
			}
			open--
			next.Reset(0)
		case <-ctx.Done():
			return 0
		}
	}
	return 0
}

// askNext requests the newest document from the best member that was not asked yet. It
// reports whether there is one.
func (c *Client) askNext(ctx context.Context, asked map[*wire.Session]bool, replies chan<- fetched) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.sources() {
		if asked[m.session] {
			continue
		}
		asked[m.session] = true
		session, minVersion := m.session, c.document.GetVersion()+1
		c.wg.Go(func() {
			reply := c.request(ctx, session, m.address, minVersion)
			select {
			case replies <- reply:
			case <-ctx.Done():
			}
		})
		return true
	}
	return false
}

// request requests a document of at least a version from a member.
func (c *Client) request(ctx context.Context, s *wire.Session, address string, minVersion uint64) fetched {
	began := time.Now()
	request := &wirepb.FetchDocumentRequest{MinVersion: minVersion}
	reply, err := s.Call(ctx, wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_FetchDocumentRequest{FetchDocumentRequest: request}})
	if ctx.Err() != nil {
		return fetched{err: ctx.Err()} // given up
	}
	response := reply.GetFetchDocumentResponse()
	var document *wirepb.Document
	if err == nil {
		document, err = decode(response, minVersion)
	}
	if err != nil {
		c.opts.Log.Info("document not received", "member", address, "min_version", minVersion, "error", err.Error())
		return fetched{err: err}
	}
	c.opts.Log.Info("document received", "version", document.Version, "bytes", len(document.Body),
		"compressed", len(response.CompressedBody), "member", address, "took_ms", time.Since(began).Milliseconds())
	return fetched{document: document}
}

// decode returns the document of a response. The error says why it is not a document of
// at least the given version.
func decode(response *wirepb.FetchDocumentResponse, minVersion uint64) (*wirepb.Document, error) {
	if response.GetVersion() < minVersion {
		return nil, eris.Errorf("version %d is older than %d", response.GetVersion(), minVersion)
	}
	r, err := gzip.NewReader(bytes.NewReader(response.CompressedBody))
	if err != nil {
		return nil, eris.Wrap(err, "decompress document")
	}
	body, err := io.ReadAll(io.LimitReader(r, wire.MaxFrameBytes))
	if err != nil {
		return nil, eris.Wrap(err, "decompress document")
	}
	return &wirepb.Document{Version: response.Version, Body: body}, nil
}

// applyFetched takes a document over and calls OnChange if it is newer.
func (c *Client) applyFetched(document *wirepb.Document) {
	c.mu.Lock()
	newer := c.setDocument(document)
	c.mu.Unlock()
	if newer {
		c.notify()
	}
}
