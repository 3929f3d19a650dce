package ledger

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	wirepb "endivewing/api/endivewing/v1"
)

const (
	// maxSpecBytes limits the spec of a resource, so that the whole
	// configuration fits in one message.
	maxSpecBytes = 16 << 10
	// maxCachedRequests is the number of ApplyRequests whose responses are
	// kept.
	maxCachedRequests = 4096
)

// requestCache holds the responses to the newest ApplyRequests, so that a
// repeated request gets the same response.
type requestCache struct {
	byID  map[string]*wirepb.AppliedRequest // by request ID
	order []string                          // request IDs, oldest first
}

func (m *requestCache) init() { m.byID = map[string]*wirepb.AppliedRequest{} }

func (m *requestCache) add(a *wirepb.AppliedRequest) {
	m.byID[a.RequestId] = a
	m.order = append(m.order, a.RequestId)
	if len(m.order) > maxCachedRequests {
		delete(m.byID, m.order[0])
		m.order = m.order[1:]
	}
}

// applyRequest executes an operator's compare-and-set, or returns the cached
// response if the request was executed before.
func (l *Ledger) applyRequest(index uint64, r *wirepb.ApplyRequest) Result {
	if reason := checkApply(r); reason != "" {
		return invalid(reason)
	}
	fingerprint := applyFingerprint(r)
	if known := l.requests.byID[r.RequestId]; known != nil {
		if known.Fingerprint != fingerprint {
			return invalid(reasonRequestIDReused)
		}
		return Result{Apply: known.Response}
	}
	response := l.compareAndSet(index, r)
	l.requests.add(&wirepb.AppliedRequest{RequestId: r.RequestId, Fingerprint: fingerprint, Response: response})
	return Result{Apply: response}
}

// checkApply returns the reason why a request can never succeed, or "".
func checkApply(r *wirepb.ApplyRequest) string {
	switch r.GetResource().GetKind() {
	case KindEndpoint, KindTeam, KindSetting:
	default:
		return reasonUnknownKind
	}
	switch {
	case r.RequestId == "":
		return reasonRequestIDMissing
	case r.Resource.Name == "":
		return reasonNameMissing
	case len(r.Resource.Spec) > maxSpecBytes:
		return reasonSpecTooLarge
	}
	return ""
}

func (l *Ledger) compareAndSet(index uint64, r *wirepb.ApplyRequest) *wirepb.ApplyResponse {
	kind, name := r.Resource.Kind, r.Resource.Name
	present := l.config.get(kind, name)
	if !r.AnyRevision && r.ExpectedRevision != present.GetRevision() {
		return &wirepb.ApplyResponse{Conflict: true, Resource: resourceOrDeleted(present, kind, name)}
	}
	if r.Resource.Deleted && present == nil {
		return &wirepb.ApplyResponse{Resource: resourceOrDeleted(nil, kind, name)}
	}
	next := &wirepb.Resource{Kind: kind, Name: name, Revision: index, Deleted: r.Resource.Deleted}
	if !next.Deleted {
		next.Spec = r.Resource.Spec
	}
	l.config.put(next)
	return &wirepb.ApplyResponse{Resource: next}
}

// resourceOrDeleted returns res, or a deleted resource of this kind and name if
// res is nil.
func resourceOrDeleted(res *wirepb.Resource, kind, name string) *wirepb.Resource {
	if res != nil {
		return res
	}
	return &wirepb.Resource{Kind: kind, Name: name, Deleted: true}
}

// applyFingerprint returns a hash that distinguishes requests that carry the
// same ID. It does not depend on the encoding of messages, which may change
// between builds.
func applyFingerprint(r *wirepb.ApplyRequest) uint64 {
	h := xxhash.New()
	writeField(h, []byte(r.Resource.Kind))
	writeField(h, []byte(r.Resource.Name))
	writeField(h, r.Resource.Spec)
	flags := byte(0)
	if r.Resource.Deleted {
		flags |= 1
	}
	if r.AnyRevision {
		flags |= 2
	}
	var tail [9]byte
	binary.BigEndian.PutUint64(tail[:], r.ExpectedRevision)
	tail[8] = flags
	writeField(h, tail[:])
	return h.Sum64()
}

func writeField(h *xxhash.Digest, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = h.Write(length[:])
	_, _ = h.Write(field)
}
