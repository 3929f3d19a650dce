package controlmember

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

// identity is the control member that a data folder belongs to. It is created
// once for an empty folder and stored there.
type identity struct {
	ID uint64 `json:"id"`
	// InitialMembers are the session addresses of the members of the initial
	// group. It is empty for a member that joined later.
	InitialMembers []string `json:"first,omitempty"`
}

// loadIdentity reads the identity of a data folder, or creates it.
func loadIdentity(o *Options) (*identity, error) {
	if err := os.MkdirAll(o.DataDir, 0o750); err != nil {
		return nil, eris.Wrap(err, "create data folder")
	}
	path := filepath.Join(o.DataDir, memberFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return createIdentity(o, path)
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

// createIdentity creates the identity of an empty data folder. On the first
// start of the deployment a seed becomes a member of the initial group. Any
// other member gets a random ID and has to join.
func createIdentity(o *Options, path string) (*identity, error) {
	seeds := slices.Sorted(slices.Values(o.Seeds))
	id := &identity{ID: randomID()}
	if index := slices.Index(seeds, o.Address); o.FirstStart && index >= 0 {
		id = &identity{ID: uint64(index) + 1, InitialMembers: seeds}
	}
	text, err := json.Marshal(id)
	if err != nil {
		return nil, eris.Wrap(err, "encode member file")
	}
	return id, disk.WriteFile(path, text)
}

// randomID returns a random member ID with joinedMemberBit set.
func randomID() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // rand.Read never fails
	return binary.BigEndian.Uint64(raw[:])>>1 | joinedMemberBit
}

// joinedMemberBit is set in the IDs of members that joined later. The members
// of the initial group have small IDs without it.
const joinedMemberBit = 1 << 62

// initialPeers returns the members of the initial group.
func (id *identity) initialPeers() []control.Peer {
	var peers []control.Peer
	for i, address := range id.InitialMembers {
		peers = append(peers, control.Peer{ID: uint64(i) + 1, Name: address, Address: address})
	}
	return peers
}
