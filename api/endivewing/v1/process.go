package wirepb

// ProcessKey identifies a process. All incarnations of a process have the same key.
type ProcessKey struct {
	Role, Name, Address string
}

// Key returns the key of the process that sent the announcement.
func (x *Announce) Key() ProcessKey {
	return ProcessKey{Role: x.GetRole(), Name: x.GetName(), Address: x.GetAddress()}
}
