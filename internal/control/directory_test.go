package control

import (
	"testing"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
)

// TestWhatProcessesAreToldOfADocument: a dispatcher is told the version of a large document
// and sent a small one, a runner neither, and a process of an older version is sent both.
func TestWhatProcessesAreToldOfADocument(t *testing.T) {
	const runner = "runner"
	small, large := make([]byte, maxInlineDocumentBytes), make([]byte, maxInlineDocumentBytes+1)
	for _, c := range []struct {
		name    string
		role    string
		fetches bool
		held    uint64
		body    []byte
		version bool
		whole   bool
	}{
		{name: "dispatcher, small", role: roleDispatcher, fetches: true, body: small, whole: true},
		{name: "dispatcher, large", role: roleDispatcher, fetches: true, body: large, version: true},
		{name: "dispatcher that has it", role: roleDispatcher, fetches: true, held: 7, body: small},
		{name: "runner, small", role: runner, fetches: true, body: small},
		{name: "runner, large", role: runner, fetches: true, body: large},
		{name: "older dispatcher, large", role: roleDispatcher, body: large, whole: true},
		{name: "older runner, large", role: runner, body: large, whole: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &subscriber{announce: &wirepb.Announce{Role: c.role, FetchesDocuments: c.fetches}, version: c.held}
			document := &wirepb.Document{Version: 7, Body: c.body}
			update := &wirepb.DirectoryUpdate{}
			assert.Equal(t, s.addDocument(update, document), c.version || c.whole)
			assert.Equal(t, update.DocumentVersion != 0, c.version)
			assert.Equal(t, update.Document != nil, c.whole)
			assert.Assert(t, !s.addDocument(&wirepb.DirectoryUpdate{}, document), "told twice")
		})
	}
}
