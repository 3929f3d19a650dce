package snapshot

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
)

func write(t testing.TB, dir string, index uint64, state []byte) string {
	t.Helper()
	w, err := Create(dir, &wirepb.SnapshotMeta{Index: index, Term: 3})
	assert.NilError(t, err)
	_, err = w.Write(state)
	assert.NilError(t, err)
	assert.NilError(t, w.Commit())
	assert.ErrorIs(t, w.Commit(), ErrClosed)
	return filepath.Join(dir, fileName(index, 3))
}

func TestNewestSkipsDamagedSnapshots(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "snapshots")
	_, _, err := OpenNewest(dir)
	assert.ErrorIs(t, err, ErrNotFound)

	state := bytes.Repeat([]byte("state"), chunkBytes)
	write(t, dir, 9, state)
	damaged := write(t, dir, 10, state)
	data, err := os.ReadFile(damaged)
	assert.NilError(t, err)
	data[len(data)/2] ^= 1
	assert.NilError(t, os.WriteFile(damaged, data, 0o644))
	unfinished, err := Create(dir, &wirepb.SnapshotMeta{Index: 11, Term: 3})
	assert.NilError(t, err)
	defer unfinished.Abort()

	r, findings, err := OpenNewest(dir)
	assert.NilError(t, err)
	defer r.Close()
	var damage *DamageError
	assert.Assert(t, len(findings) == 1 && errors.As(findings[0], &damage))
	assert.Equal(t, damage.File, damaged)
	assert.Equal(t, r.Meta().Index, uint64(9))
	got, err := io.ReadAll(r)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, state))

	write(t, dir, 8, state)
	assert.NilError(t, Prune(dir, r.Meta().Index))
	files, err := os.ReadDir(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2)
	assert.Equal(t, files[0].Name(), filepath.Base(r.Path()))
	assert.Equal(t, files[1].Name(), filepath.Base(damaged))
}

// TestTruncatedFileIsDamaged checks that no shorter prefix of a file is read as
// a complete snapshot.
func TestTruncatedFileIsDamaged(t *testing.T) {
	path := write(t, t.TempDir(), 1, []byte("some state"))
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	for n := range data {
		_, err := readAll(data[:n])
		var damage *DamageError
		assert.Assert(t, errors.As(err, &damage), "truncated to %d bytes: %v", n, err)
	}
	_, err = readAll(data)
	assert.NilError(t, err)
}

func readAll(data []byte) ([]byte, error) {
	r, err := newReader("file", bytes.NewReader(data), io.NopCloser(nil))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(r)
}

// FuzzReader checks that any input is either read or rejected with a typed
// error.
func FuzzReader(f *testing.F) {
	path := write(f, f.TempDir(), 1, []byte("some state"))
	data, err := os.ReadFile(path)
	assert.NilError(f, err)
	f.Add(data)
	f.Add(data[:len(data)-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := readAll(data)
		var damage *DamageError
		if err != nil && !errors.As(err, &damage) && !errors.Is(err, ErrVersion) {
			t.Fatalf("untyped error %v", err)
		}
	})
}
