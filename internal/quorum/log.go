package quorum

import (
	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
)

// entryOverheadBytes stands for the fields of an entry beside its data.
const entryOverheadBytes = 24

// memLog is the log in memory: entries after a base that was compacted.
type memLog struct {
	baseIndex, baseTerm uint64
	entries             []*wirepb.Entry
	// handed is the last index given to the host for writing.
	handed uint64
}

// load takes the stored entries that follow the base. When the entry at the
// base has another term, the snapshot replaced that log and what follows the
// entry is void.
func (l *memLog) load(entries []*wirepb.Entry) error {
	for _, e := range entries {
		if e.Index == l.baseIndex && e.Term != l.baseTerm {
			break
		}
		if e.Index <= l.baseIndex {
			continue
		}
		if e.Index != l.last()+1 {
			return eris.Wrapf(ErrStoredGap, "entry %d follows %d", e.Index, l.last())
		}
		l.entries = append(l.entries, e)
	}
	l.handed = l.last()
	return nil
}

func (l *memLog) first() uint64 { return l.baseIndex + 1 }

func (l *memLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry; false when the log does not hold it.
func (l *memLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *memLog) matches(index, term uint64) bool {
	have, ok := l.term(index)
	return ok && have == term
}

// upToDate tells whether a log that ends so holds at least what this one does.
func (l *memLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// agree returns the largest index at or before the given one whose term is
// not after the given one, and its term. An index before the base means that
// the log no longer tells.
func (l *memLog) agree(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for index >= l.baseIndex {
		if have, _ := l.term(index); have <= term {
			return index, have
		}
		index--
	}
	return index, 0
}

// append adds entries that follow the last one.
func (l *memLog) append(entries ...*wirepb.Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops every entry after an index.
func (l *memLog) truncate(index uint64) {
	// The slice is cut with its capacity: messages still refer to the tail.
	n := index - l.baseIndex
	l.entries = l.entries[:n:n]
	l.handed = min(l.handed, index)
}

// from returns the entries from an index on, at least one and up to a size.
func (l *memLog) from(index uint64, maxBytes int) []*wirepb.Entry {
	tail := l.entries[index-l.baseIndex-1:]
	size := 0
	for i, e := range tail {
		size += len(e.Data) + entryOverheadBytes
		if size > maxBytes && i > 0 {
			return tail[:i:i]
		}
	}
	return tail[:len(tail):len(tail)]
}

// between returns the entries after one index and up to another.
func (l *memLog) between(after, upTo uint64) []*wirepb.Entry {
	n := upTo - l.baseIndex
	return l.entries[after-l.baseIndex : n : n]
}

// unhanded returns the entries not yet given to the host.
func (l *memLog) unhanded() []*wirepb.Entry { return l.between(l.handed, l.last()) }

// compact drops the entries up to an index.
func (l *memLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	kept := l.between(index, l.last())
	// A copy, so that the dropped entries can be collected.
	l.entries = append(make([]*wirepb.Entry, 0, len(kept)), kept...)
	l.baseIndex, l.baseTerm = index, term
	l.handed = max(l.handed, index)
}

// reset starts the log anew after a snapshot.
func (l *memLog) reset(index, term uint64) {
	*l = memLog{baseIndex: index, baseTerm: term, handed: index}
}
