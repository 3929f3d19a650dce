package formation

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"

	"endivewing/internal/control"
	"endivewing/internal/disk"
)

const memberFile = "member.json"

// identity is the member that a disk belongs to. It is drawn when the disk is
// empty and kept there.
type identity struct {
	ID uint64 `json:"id"`
	// First are the session addresses of the first group, for a member of it.
	First []string `json:"first,omitempty"`
}

// openIdentity reads the identity of a data folder, or makes one.
func openIdentity(o *Options) (*identity, error) {
	if err := os.MkdirAll(o.DataDir, 0o750); err != nil {
		return nil, eris.Wrap(err, "make data folder")
	}
	path := filepath.Join(o.DataDir, memberFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return makeIdentity(o, path)
	}
	if err != nil {
		return nil, eris.Wrap(err, "read member file")
	}
	id := new(identity)
	if err := json.Unmarshal(text, id); err != nil {
		return nil, eris.Wrapf(err, "decode %s", path)
	}
	return id, nil
}

// makeIdentity draws an identity for an empty disk: a place in the first group
// where this is the first start of the deployment and the host a seed, else a
// new number, which joins.
func makeIdentity(o *Options, path string) (*identity, error) {
	seeds := slices.Sorted(slices.Values(o.Seeds))
	id := &identity{ID: drawID()}
	if at := slices.Index(seeds, o.Address); o.FirstStart && at >= 0 {
		id = &identity{ID: uint64(at) + 1, First: seeds}
	}
	text, err := json.Marshal(id)
	if err != nil {
		return nil, eris.Wrap(err, "encode member file")
	}
	return id, disk.WriteFile(path, text)
}

func drawID() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // never fails
	return binary.BigEndian.Uint64(raw[:])>>1 | joinedBit
}

// joinedBit tells the numbers of members that joined later from those of the
// first group.
const joinedBit = 1 << 62

// peers are the members of the first group.
func (id *identity) peers() []control.Peer {
	var peers []control.Peer
	for i, address := range id.First {
		peers = append(peers, control.Peer{ID: uint64(i) + 1, Name: address, Address: address})
	}
	return peers
}
