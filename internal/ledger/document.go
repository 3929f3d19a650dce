package ledger

import (
	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
)

// documentName is the name of the only configuration document.
const documentName = "desired"

// putDocument stores a configuration document if its version is higher than the
// stored one. Otherwise nothing changes. The response is the stored version in
// both cases.
func (l *Ledger) putDocument(index uint64, d *wirepb.Document) Result {
	stored := l.Document().GetVersion()
	if d.GetVersion() > stored {
		l.config.putMessage(KindDocument, documentName, index, d)
		stored = d.GetVersion()
	}
	return Result{Document: &wirepb.PutDocumentResponse{Version: stored}}
}

// Document returns the stored configuration document, or nil.
func (l *Ledger) Document() *wirepb.Document {
	res := l.config.get(KindDocument, documentName)
	if res == nil {
		return nil
	}
	d := new(wirepb.Document)
	if err := proto.Unmarshal(res.Spec, d); err != nil {
		panic(err) // written by putDocument
	}
	return d
}
