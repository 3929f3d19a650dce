package resource

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// Finding is one thing wrong with a resource.
type Finding struct {
	// Field is the path of the field, such as "spec.weight".
	Field  string
	Reason string
}

const (
	// maxNameBytes bounds names of resources, teams and services.
	maxNameBytes = 63
	// maxSpecBytes bounds the JSON of a spec.
	maxSpecBytes = 64 << 10
	// maxServices bounds the services of an endpoint.
	maxServices = 64
	// maxSlots bounds declared slots and connections.
	maxSlots = 1 << 16
	// maxWeight bounds a team's weight.
	maxWeight = 1 << 16
)

// CheckName returns what is wrong with a name, or "". Names are lower-case
// letters, digits, '-', '_' and '.', beginning with a letter or digit.
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

// Check returns what is wrong with an object, with field paths.
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

// CheckSpec returns what is wrong with the spec of a kind.
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

// checked is a spec that knows its own rules.
type checked[T any] interface {
	*T
	check() []Finding
}

func checkSpec[T any, P checked[T]](spec []byte) []Finding {
	var s T
	if err := decodeStrict(spec, &s); err != nil {
		return []Finding{{Field: "spec", Reason: err.Error()}}
	}
	return P(&s).check()
}

// ParseEndpoint reads an endpoint's spec; unknown fields are left out, so that
// older processes can read newer specs.
func ParseEndpoint(spec []byte) (EndpointSpec, error) { return parse[EndpointSpec](spec) }

// ParseTeam reads a team's spec.
func ParseTeam(spec []byte) (TeamSpec, error) { return parse[TeamSpec](spec) }

// ParseSetting reads a setting's spec.
func ParseSetting(spec []byte) (SettingSpec, error) { return parse[SettingSpec](spec) }

func parse[T any](spec []byte) (T, error) {
	var s T
	err := json.Unmarshal(spec, &s)
	return s, err
}

// decodeStrict refuses unknown fields and anything after the value.
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
