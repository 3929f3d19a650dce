package control

import (
	"bytes"
	"compress/gzip"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

// documents answers the requests for the newest document, outside the loop. A process
// is told its version by each member and requests it from one. It is safe for concurrent
// use.
type documents struct {
	newest atomic.Pointer[publishedDocument]
}

// publishedDocument is a document that processes may request.
type publishedDocument struct {
	version uint64
	// compressed returns the compressed body, which is made for the first request.
	compressed func() ([]byte, error)
}

// publish makes a document the newest one; nil means that there is none yet.
func (d *documents) publish(document *wirepb.Document) {
	if document == nil {
		return
	}
	d.newest.Store(&publishedDocument{
		version:    document.Version,
		compressed: sync.OnceValues(func() ([]byte, error) { return compress(document.Body) }),
	})
}

// response returns the reply to a request.
func (d *documents) response(request *wirepb.FetchDocumentRequest) *wirepb.Envelope {
	newest := d.newest.Load()
	if newest == nil || newest.version < request.MinVersion {
		return wire.FaultReply(wirepb.FaultCode_FAULT_CODE_UNAVAILABLE, reasonNoDocument, "")
	}
	body, err := newest.compressed()
	if err != nil {
		return wire.FaultReply(wirepb.FaultCode_FAULT_CODE_UNAVAILABLE, err.Error(), "")
	}
	response := &wirepb.FetchDocumentResponse{Version: newest.version, CompressedBody: body}
	return &wirepb.Envelope{Body: &wirepb.Envelope_FetchDocumentResponse{FetchDocumentResponse: response}}
}

// compress compresses a body at the least expense of processor time.
func compress(body []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
	if _, err := w.Write(body); err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
	return compressed.Bytes(), nil
}
