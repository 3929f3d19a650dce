package control

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	diskfile "endivewing/internal/disk"
	"endivewing/internal/quorum"
)

const (
	identityFile    = "identity.json"
	identityVersion = 1
)

// identity ties a data folder to one member. It is stored in the folder before
// the member takes part in the cluster, and never changes.
type identity struct {
	Version int    `json:"version"`
	Cluster string `json:"cluster"`
	ID      uint64 `json:"id"`
	// Disk is a random number, not 0, that identifies the data folder. It is
	// drawn when the identity is created.
	Disk uint64 `json:"disk"`
	// Membership is the initial membership, an encoded QuorumMembership. It is
	// empty for a member that joins.
	Membership []byte `json:"membership"`
	// Checksum is the xxHash64 of the file's contents with Checksum 0.
	Checksum uint64 `json:"checksum"`
}

// openIdentity reads the identity of the data folder, or creates one for a new
// folder. It returns a wrapped ErrIdentity or an error of the file system.
func openIdentity(o *Options) (*identity, error) {
	path := filepath.Join(o.DataDir, identityFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return createIdentity(o, path)
	}
	if err != nil {
		return nil, eris.Wrap(err, "read identity")
	}
	id := new(identity)
	if err := json.Unmarshal(text, id); err != nil {
		return nil, eris.Wrapf(ErrIdentity, "%s: %v", path, err)
	}
	return id, id.check(o, path)
}

// check compares the identity with the options. Error: ErrIdentity, wrapped.
func (id *identity) check(o *Options, path string) error {
	switch {
	case id.Version != identityVersion:
		return eris.Wrapf(ErrIdentity, "%s: unknown format version %d", path, id.Version)
	case id.Checksum != id.computeChecksum():
		return eris.Wrapf(ErrIdentity, "%s: checksum mismatch", path)
	case id.Cluster != o.Cluster:
		return eris.Wrapf(ErrIdentity, "%s: cluster %q, settings say %q", path, id.Cluster, o.Cluster)
	case id.ID != o.ID:
		return eris.Wrapf(ErrIdentity, "%s: member %d, settings say %d", path, id.ID, o.ID)
	}
	return nil
}

func (id *identity) computeChecksum() uint64 {
	plain := *id
	plain.Checksum = 0
	text, err := json.Marshal(&plain)
	if err != nil {
		panic(err) // not possible: the fields are numbers, strings and bytes
	}
	return xxhash.Sum64(text)
}

func createIdentity(o *Options, path string) (*identity, error) {
	var disk [8]byte
	_, _ = rand.Read(disk[:]) // never returns an error
	id := &identity{
		Version: identityVersion,
		Cluster: o.Cluster,
		ID:      o.ID,
		Disk:    binary.BigEndian.Uint64(disk[:]) | 1,
	}
	if !o.Join {
		membership, err := proto.Marshal(initialMembership(o).Proto())
		if err != nil {
			return nil, eris.Wrap(err, "encode members")
		}
		id.Membership = membership
	}
	id.Checksum = id.computeChecksum()
	text, err := json.Marshal(id)
	if err != nil {
		return nil, eris.Wrap(err, "encode identity")
	}
	return id, diskfile.WriteFile(path, text)
}

// decodeMembership returns the initial membership. It is empty for a member
// that joins. Error: ErrIdentity, wrapped.
func (id *identity) decodeMembership() (quorum.Membership, error) {
	m := new(wirepb.QuorumMembership)
	if err := proto.Unmarshal(id.Membership, m); err != nil {
		return quorum.Membership{}, eris.Wrapf(ErrIdentity, "decode members: %v", err)
	}
	return quorum.MembershipOf(m), nil
}

func initialMembership(o *Options) quorum.Membership {
	var m quorum.Membership
	for _, p := range o.Members {
		m.Voters = append(m.Voters, quorum.Member{ID: p.ID, Context: encodePeer(p)})
	}
	return m
}

// encodePeer returns the context that the membership stores with a member's ID.
func encodePeer(p Peer) []byte {
	context, err := proto.Marshal(&wirepb.Member{Id: p.ID, Name: p.Name, Address: p.Address, Zone: p.Zone})
	if err != nil {
		return nil // a string is not valid UTF-8
	}
	return context
}

// decodePeer returns the peer from a member's ID and context.
func decodePeer(m quorum.Member) Peer {
	p := new(wirepb.Member)
	_ = proto.Unmarshal(m.Context, p)
	return Peer{ID: m.ID, Name: p.Name, Address: p.Address, Zone: p.Zone}
}
