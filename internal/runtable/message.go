package runtable

import wirepb "endivewing/api/endivewing/v1"

// NeedOf returns the need that a message holds.
func NeedOf(m *wirepb.Need) Need {
	return Need{CPU: int64(m.GetCpuMilli()), Memory: int64(m.GetMemoryMb()), GPUs: int64(m.GetGpus())}
}

// Message returns the need as a message. Negative values, as they occur while a
// minion shrinks or tasks wait at it, become 0.
func (n Need) Message() *wirepb.Need {
	return &wirepb.Need{
		CpuMilli: uint32(max(n.CPU, 0)), MemoryMb: uint32(max(n.Memory, 0)), Gpus: uint32(max(n.GPUs, 0)),
	}
}
