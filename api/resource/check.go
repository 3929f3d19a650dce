package resource

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// Finding is one problem of a resource.
type Finding struct {
	// Field is the path of the field, such as "spec.weight".
	Field  string
	Reason string
}

const (
	// maxNameBytes is the maximum length of the name of a resource, team or service,
	// in bytes.
	maxNameBytes = 63
	// maxSpecBytes is the maximum size of the JSON of a spec, in bytes.
	maxSpecBytes = 64 << 10
	// maxServices is the maximum number of services of an endpoint.
	maxServices = 64
	// maxSlots is the maximum number of slots, and of connections, in an endpoint's
	// spec.
	maxSlots = 1 << 16
	// maxWeight is the maximum weight of a team.
	maxWeight = 1 << 16
)

// CheckName returns the problem of a name, or "" for a valid one. A valid name has
// only lower-case letters, digits, '-', '_' and '.', and begins with a letter or
// digit.
func CheckName(name string) string {
	switch {
	case name == "":
		return "is missing"
	case len(name) > maxNameBytes:
		return fmt.Sprintf("is over %d bytes", maxNameBytes)
	}
	for i := range len(name) {
		if !nameByte(name[i], i == 0) {
			return "may hold only a-z, 0-9, '-', '_' and '.', and begins with a letter or digit"
		}
	}
	return ""
}

func nameByte(b byte, first bool) bool {
	alnum := b >= 'a' && b <= 'z' || b >= '0' && b <= '9'
	return alnum || !first && (b == '-' || b == '_' || b == '.')
}

// Check returns the problems of an object, with field paths.
func (o *Object) Check() []Finding {
	var findings []Finding
	add := func(field, reason string) { findings = append(findings, Finding{Field: field, Reason: reason}) }
	if reason := CheckName(o.Metadata.Name); reason != "" {
		add("metadata.name", reason)
	}
	if _, ok := ParseVersion(o.Metadata.ResourceVersion); !ok {
		add("metadata.resourceVersion", "is not a version")
	}
	if len(o.Spec) > maxSpecBytes {
		add("spec", fmt.Sprintf("is over %d bytes", maxSpecBytes))
		return findings
	}
	return append(findings, CheckSpec(o.Kind, o.Spec)...)
}

// CheckSpec returns the problems of the spec of a resource of the given kind.
func CheckSpec(kind Kind, spec []byte) []Finding {
	switch kind {
	case KindEndpoint:
		return checkSpec[EndpointSpec](spec)
	case KindTeam:
		return checkSpec[TeamSpec](spec)
	case KindSetting:
		return checkSpec[SettingSpec](spec)
	}
	return []Finding{{Field: "kind", Reason: fmt.Sprintf("%q is not one of endpoint, team, setting", kind)}}
}

// specChecker is a pointer to a spec type with a method that validates it.
type specChecker[T any] interface {
	*T
	check() []Finding
}

func checkSpec[T any, P specChecker[T]](spec []byte) []Finding {
	var s T
	if err := decodeStrict(spec, &s); err != nil {
		return []Finding{{Field: "spec", Reason: err.Error()}}
	}
	return P(&s).check()
}

// ParseEndpoint decodes the spec of an endpoint. Unknown fields are ignored, so
// that older processes can read newer specs.
func ParseEndpoint(spec []byte) (EndpointSpec, error) { return parse[EndpointSpec](spec) }

// ParseTeam decodes the spec of a team. Unknown fields are ignored.
func ParseTeam(spec []byte) (TeamSpec, error) { return parse[TeamSpec](spec) }

// ParseSetting decodes the spec of a setting. Unknown fields are ignored.
func ParseSetting(spec []byte) (SettingSpec, error) { return parse[SettingSpec](spec) }

func parse[T any](spec []byte) (T, error) {
	var s T
	err := json.Unmarshal(spec, &s)
	return s, err
}

// decodeStrict decodes one JSON value. It returns an error for unknown fields and
// for anything after the value.
func decodeStrict(text []byte, into any) error {
	if len(bytes.TrimSpace(text)) == 0 {
		return fmt.Errorf("is missing")
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("more than one value")
	}
	return nil
}

func (s *EndpointSpec) check() []Finding {
	var findings []Finding
	if len(s.Services) > maxServices {
		findings = append(findings, Finding{"spec.services", fmt.Sprintf("has more than %d elements", maxServices)})
	}
	for i, name := range s.Services {
		if reason := CheckName(name); reason != "" {
			findings = append(findings, Finding{fmt.Sprintf("spec.services[%d]", i), reason})
		}
	}
	if s.Slots > maxSlots {
		findings = append(findings, Finding{"spec.slots", fmt.Sprintf("is over %d", maxSlots)})
	}
	if s.Connections > maxSlots {
		findings = append(findings, Finding{"spec.connections", fmt.Sprintf("is over %d", maxSlots)})
	}
	return findings
}

func (s *TeamSpec) check() []Finding {
	if s.Weight < 1 || s.Weight > maxWeight {
		return []Finding{{"spec.weight", fmt.Sprintf("is not between 1 and %d", maxWeight)}}
	}
	return nil
}

func (s *SettingSpec) check() []Finding {
	if len(s.Value) == 0 {
		return []Finding{{"spec.value", "is missing"}}
	}
	return nil
}
