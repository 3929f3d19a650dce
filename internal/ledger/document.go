package ledger

import (
	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
)

// documentName is the name of the only document.
const documentName = "desired"

// putDocument keeps a document whose version is higher than the one held.
// Any other changes nothing, and is answered alike.
func (l *Ledger) putDocument(index uint64, d *wirepb.Document) Result {
	held := l.Document().GetVersion()
	if d.GetVersion() > held {
		l.config.putMessage(KindDocument, documentName, index, d)
		held = d.GetVersion()
	}
	return Result{Document: &wirepb.PutDocumentResponse{Version: held}}
}

// Document returns the document with the highest version, or nil.
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
