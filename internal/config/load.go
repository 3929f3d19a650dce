package config

import (
	"cmp"
	"errors"
	"os"
	"reflect"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/rotisserie/eris"
)

// LoadFile reads and checks a settings file. The error is a *FindingsError
// unless reading the file failed.
func LoadFile(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Load(path, text)
}

// Load decodes settings on top of the defaults and checks them. The error is a
// *FindingsError with every finding, in the order of the file.
func Load(file string, text []byte) (*Settings, error) {
	d := &decoder{file: file, positions: map[string]*token.Position{}}
	s := Default()
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		d.addSyntax(err)
		return nil, &FindingsError{Findings: d.findings}
	}
	if body := documentBody(tree); body != nil {
		d.decode(body, reflect.ValueOf(&s).Elem(), "")
	}
	check(&s, d.addAtPath)
	if len(d.findings) > 0 {
		slices.SortStableFunc(d.findings, func(a, b Finding) int {
			return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
		})
		return nil, &FindingsError{Findings: d.findings}
	}
	return &s, nil
}

func documentBody(tree *ast.File) ast.Node {
	if len(tree.Docs) == 0 {
		return nil
	}
	return tree.Docs[0].Body
}

func (d *decoder) addSyntax(err error) {
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		d.add("", syntax.GetToken().Position, syntax.GetMessage())
		return
	}
	d.add("", nil, err.Error())
}
