package config

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
)

// Reference returns the settings reference as a Markdown table, generated from
// the struct tags and the defaults.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nMade by `go run ./cmd/endivewing settings`; a test holds it against the code.\n\n")
	b.WriteString("| key | default | meaning |\n|---|---|---|\n")
	s := Default()
	writeFields(&b, reflect.ValueOf(s), "")
	return b.String()
}

func writeFields(b *strings.Builder, v reflect.Value, path string) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key := joinPath(path, field.Tag.Get("yaml"))
		value := v.Field(i)
		fmt.Fprintf(b, "| `%s` | %s | %s |\n", key, defaultText(value), field.Tag.Get("doc"))
		switch {
		case value.Kind() == reflect.Struct:
			writeFields(b, value, key)
		case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
			writeFields(b, reflect.New(value.Type().Elem()).Elem(), key+"[]")
		}
	}
}

func defaultText(v reflect.Value) string {
	if text, ok := v.Interface().(encoding.TextMarshaler); ok {
		out, err := text.MarshalText()
		if err == nil {
			return "`" + string(out) + "`"
		}
	}
	if v.IsZero() || v.Kind() == reflect.Struct {
		return ""
	}
	return fmt.Sprintf("`%v`", v.Interface())
}
