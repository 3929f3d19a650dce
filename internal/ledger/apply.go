package ledger

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	wirepb "endivewing/api/endivewing/v1"
)

const (
	// maxSpecBytes bounds the spec of a resource, so that the whole
	// configuration fits in one message.
	maxSpecBytes = 16 << 10
	// rememberedRequests is how many answers to ApplyRequests are kept.
	rememberedRequests = 4096
)

// requestMemory keeps the first answers to the newest ApplyRequests.
type requestMemory struct {
	answers map[string]*wirepb.AppliedRequest
	order   []string
}

func (m *requestMemory) init() { m.answers = map[string]*wirepb.AppliedRequest{} }

func (m *requestMemory) add(a *wirepb.AppliedRequest) {
	m.answers[a.RequestId] = a
	m.order = append(m.order, a.RequestId)
	if len(m.order) > rememberedRequests {
		delete(m.answers, m.order[0])
		m.order = m.order[1:]
	}
}

// apply executes an operator's compare-and-set.
func (l *Ledger) apply(index uint64, r *wirepb.ApplyRequest) Result {
	if reason := checkApply(r); reason != "" {
		return invalid(reason)
	}
	fingerprint := applyFingerprint(r)
	if known := l.requests.answers[r.RequestId]; known != nil {
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
		return &wirepb.ApplyResponse{Conflict: true, Resource: orAbsent(present, kind, name)}
	}
	if r.Resource.Deleted && present == nil {
		return &wirepb.ApplyResponse{Resource: orAbsent(nil, kind, name)}
	}
	next := &wirepb.Resource{Kind: kind, Name: name, Revision: index, Deleted: r.Resource.Deleted}
	if !next.Deleted {
		next.Spec = r.Resource.Spec
	}
	l.config.put(next)
	return &wirepb.ApplyResponse{Resource: next}
}

// orAbsent describes a resource that may not exist.
func orAbsent(res *wirepb.Resource, kind, name string) *wirepb.Resource {
	if res != nil {
		return res
	}
	return &wirepb.Resource{Kind: kind, Name: name, Deleted: true}
}

// applyFingerprint tells requests apart that carry the same ID. It does not
// depend on the encoding of messages, which may change between builds.
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
