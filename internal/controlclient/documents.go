package controlclient

import (
	"context"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

// PutDocument makes a document durable unless its version is not higher than
// the one held. The same request may be sent again. Errors as of Control.
func (c *Client) PutDocument(ctx context.Context, d *wirepb.Document) (*wirepb.PutDocumentResponse, error) {
	r := &wirepb.PutDocumentRequest{Document: d}
	reply, err := c.call(ctx, wire.LaneTraffic, 0, func() *wirepb.Envelope {
		return &wirepb.Envelope{Body: &wirepb.Envelope_PutDocumentRequest{PutDocumentRequest: r}}
	})
	return body(reply, err, reply.GetPutDocumentResponse)
}

// GetDocument reads the newest document, confirmed by a quorum. Errors as of
// Control.
func (c *Client) GetDocument(ctx context.Context) (*wirepb.Document, error) {
	reply, err := c.call(ctx, wire.LaneTraffic, 0, func() *wirepb.Envelope {
		return &wirepb.Envelope{Body: &wirepb.Envelope_GetDocumentRequest{GetDocumentRequest: &wirepb.GetDocumentRequest{}}}
	})
	r, err := body(reply, err, reply.GetGetDocumentResponse)
	return r.GetDocument(), err
}
