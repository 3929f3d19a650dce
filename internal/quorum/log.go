package quorum

import (
	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
)

// entryOverheadBytes is the estimated size of an entry's fields other than its
// data.
const entryOverheadBytes = 24

// memLog is the part of the log held in memory: the entries after the base. The
// base is the last entry that was compacted or covered by an installed
// snapshot.
type memLog struct {
	baseIndex, baseTerm uint64
	entries             []*wirepb.Entry
	// handedOut is the last index handed to the caller for writing.
	handedOut uint64
}

// load adds the stored entries that follow the base. If the stored entry at the
// base has another term than the snapshot, the snapshot replaced that log, and
// load ignores this entry and all after it.
func (l *memLog) load(entries []*wirepb.Entry) error {
	for _, e := range entries {
		if e.Index == l.baseIndex && e.Term != l.baseTerm {
			break
		}
		if e.Index <= l.baseIndex {
			continue
		}
		if e.Index != l.last()+1 {
			return eris.Wrapf(ErrStoredLogIncomplete, "entry %d follows entry %d", e.Index, l.last())
		}
		l.entries = append(l.entries, e)
	}
	l.handedOut = l.last()
	return nil
}

func (l *memLog) first() uint64 { return l.baseIndex + 1 }

func (l *memLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at an index, the base included; false if
// the log does not hold it.
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

// upToDate reports whether a log whose last entry has this index and term is at
// least as up-to-date as this one.
func (l *memLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// lastUpToTerm returns the largest index at or before the given one whose
// term is at most the given one, and its term. An index before the base means
// that the entry was compacted.
func (l *memLog) lastUpToTerm(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for index >= l.baseIndex {
		if have, _ := l.term(index); have <= term {
			return index, have
		}
		index--
	}
	return index, 0
}

// append adds entries, which must follow the last one.
func (l *memLog) append(entries ...*wirepb.Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops every entry after an index.
func (l *memLog) truncate(index uint64) {
	// The capacity is reduced too, so that a later append does not overwrite
	// the tail, which queued messages may still refer to.
	n := index - l.baseIndex
	l.entries = l.entries[:n:n]
	l.handedOut = min(l.handedOut, index)
}

// from returns the entries from an index on, up to maxBytes but at least one.
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

// between returns the entries after one index up to and including another.
func (l *memLog) between(after, upTo uint64) []*wirepb.Entry {
	n := upTo - l.baseIndex
	return l.entries[after-l.baseIndex : n : n]
}

// newEntries returns the entries not yet handed to the caller for writing.
func (l *memLog) newEntries() []*wirepb.Entry { return l.between(l.handedOut, l.last()) }

// compact drops the entries up to an index.
func (l *memLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	kept := l.between(index, l.last())
	// The slice is copied so that the dropped entries can be garbage-collected.
	l.entries = append(make([]*wirepb.Entry, 0, len(kept)), kept...)
	l.baseIndex, l.baseTerm = index, term
	l.handedOut = max(l.handedOut, index)
}

// reset replaces the log with an empty one that starts after a snapshot.
func (l *memLog) reset(index, term uint64) {
	*l = memLog{baseIndex: index, baseTerm: term, handedOut: index}
}
