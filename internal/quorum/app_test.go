package quorum

import (
	"encoding/binary"
	"maps"

	wirepb "endivewing/api/endivewing/v1"
)

// command is a compare-and-set on one register.
type command struct {
	op, key, expected, value uint64
}

func (c command) encode() []byte {
	var buf []byte
	for _, x := range []uint64{c.op, c.key, c.expected, c.value} {
		buf = binary.BigEndian.AppendUint64(buf, x)
	}
	return buf
}

func decode(data []byte) (command, bool) {
	if len(data) != 32 {
		return command{}, false
	}
	at := func(i int) uint64 { return binary.BigEndian.Uint64(data[8*i:]) }
	return command{op: at(0), key: at(1), expected: at(2), value: at(3)}, true
}

// appState is a state machine of registers, with the outcome of each command.
type appState struct {
	applied   uint64
	registers map[uint64]uint64
	outcomes  map[uint64]bool
}

func (s appState) clone() appState {
	return appState{applied: s.applied, registers: maps.Clone(s.registers), outcomes: maps.Clone(s.outcomes)}
}

func (s *appState) apply(e *wirepb.Entry) {
	s.applied = e.Index
	cmd, ok := decode(e.Data)
	if !ok {
		return
	}
	if s.registers == nil {
		s.registers, s.outcomes = map[uint64]uint64{}, map[uint64]bool{}
	}
	swapped := s.registers[cmd.key] == cmd.expected
	if swapped {
		s.registers[cmd.key] = cmd.value
	}
	s.outcomes[cmd.op] = swapped
}
