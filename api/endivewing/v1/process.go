package wirepb

// ProcessKey tells processes apart: two lives of one process have the same.
type ProcessKey struct {
	Role, Name, Address string
}

// Key is what an announcement is known by.
func (x *Announce) Key() ProcessKey {
	return ProcessKey{Role: x.GetRole(), Name: x.GetName(), Address: x.GetAddress()}
}
