package config

import (
	"encoding"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// Finding is one problem of a settings file.
type Finding struct {
	File         string
	Line, Column int
	// Path is the path of the setting, such as control.members[0].id; it is empty
	// for a syntax error.
	Path    string
	Problem string
}

// String formats a finding as file:line:column: path: problem.
func (f Finding) String() string {
	place := fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	if f.Path == "" {
		return place + ": " + f.Problem
	}
	return place + ": " + f.Path + ": " + f.Problem
}

// FindingsError is returned for a settings file with findings.
type FindingsError struct {
	Findings []Finding
}

// Error lists the findings, one per line, in the order of the file.
func (e *FindingsError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// decoder fills settings from a YAML syntax tree and collects findings.
type decoder struct {
	file string
	// positions holds the position of each path that the file has.
	positions map[string]*token.Position
	findings  []Finding
}

func (d *decoder) add(path string, at *token.Position, problem string) {
	f := Finding{File: d.file, Line: 1, Column: 1, Path: path, Problem: problem}
	if at != nil {
		f.Line, f.Column = at.Line, at.Column
	}
	d.findings = append(d.findings, f)
}

// addAtPath adds a finding at the position of a path. When the file lacks the
// path, the position is that of the nearest parent in the file.
func (d *decoder) addAtPath(path, problem string) {
	parent := path
	for parent != "" {
		if at, ok := d.positions[parent]; ok {
			d.add(path, at, problem)
			return
		}
		parent = parent[:max(strings.LastIndexAny(parent, ".["), 0)]
	}
	d.add(path, nil, problem)
}

// decode fills v from a node. Scalars are decoded by the YAML library.
func (d *decoder) decode(node ast.Node, v reflect.Value, path string) {
	d.positions[path] = node.GetToken().Position
	_, isText := v.Addr().Interface().(encoding.TextUnmarshaler)
	switch {
	case node.Type() == ast.NullType:
		return
	case isText:
		d.decodeText(node, v, path)
	case v.Kind() == reflect.Struct:
		d.decodeStruct(node, v, path)
	case v.Kind() == reflect.Slice:
		d.decodeSlice(node, v, path)
	default:
		d.decodeScalar(node, v, path)
	}
}

func (d *decoder) decodeText(node ast.Node, v reflect.Value, path string) {
	scalar, ok := node.(ast.ScalarNode)
	if !ok {
		d.add(path, node.GetToken().Position, "expected one value")
		return
	}
	text := fmt.Sprint(scalar.GetValue())
	if err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)); err != nil {
		d.add(path, node.GetToken().Position, err.Error())
	}
}

func (d *decoder) decodeScalar(node ast.Node, v reflect.Value, path string) {
	if _, ok := node.(ast.ScalarNode); !ok {
		d.add(path, node.GetToken().Position, "expected one value")
		return
	}
	if err := yaml.NodeToValue(node, v.Addr().Interface()); err != nil {
		d.add(path, node.GetToken().Position, fmt.Sprintf("expected %s", kindText(v.Kind())))
	}
}

func kindText(k reflect.Kind) string {
	switch k {
	case reflect.Int, reflect.Uint64:
		return "a whole number"
	case reflect.Bool:
		return "true or false"
	default:
		return "text"
	}
}

func (d *decoder) decodeSlice(node ast.Node, v reflect.Value, path string) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.add(path, node.GetToken().Position, "expected a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values)))
	for i, item := range list.Values {
		d.decode(item, v.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) decodeStruct(node ast.Node, v reflect.Value, path string) {
	pairs, ok := mappingPairs(node)
	if !ok {
		d.add(path, node.GetToken().Position, "expected keys and values")
		return
	}
	fields := fieldsByKey(v)
	seen := map[string]bool{}
	for _, pair := range pairs {
		key := pair.Key.String()
		at := pair.Key.GetToken().Position
		field, known := fields[key]
		switch {
		case !known:
			d.add(joinPath(path, key), at, "unknown key"+knownKeysHint(fields))
		case seen[key]:
			d.add(joinPath(path, key), at, "duplicate key")
		default:
			d.decode(pair.Value, field, joinPath(path, key))
			d.positions[joinPath(path, key)] = at
		}
		seen[key] = true
	}
}

func mappingPairs(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

func fieldsByKey(v reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		fields[v.Type().Field(i).Tag.Get("yaml")] = v.Field(i)
	}
	return fields
}

func knownKeysHint(fields map[string]reflect.Value) string {
	keys := make([]string, 0, len(fields))
	for key := range fields {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return "; known keys: " + strings.Join(keys, ", ")
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
