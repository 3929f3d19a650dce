// Package deploy holds the description of how the system is built and started on
// its hosts, and the test of its settings template.
package deploy

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endivewing/internal/config"
)

// values holds the fields of one host by the names that the template uses.
type values map[string]any

func (v values) with(more values) values {
	all := values{}
	for key, value := range v {
		all[key] = value
	}
	for key, value := range more {
		all[key] = value
	}
	return all
}

var (
	section     = regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render fills in a template. It supports placeholders {{field}}, sections
// {{#field}} for lists and for fields that are present, and sections {{^field}} for
// fields that are absent. Sections of the same field can't be nested.
func render(text string, v values) string {
	for {
		at := section.FindStringSubmatchIndex(text)
		if at == nil {
			break
		}
		kind, field := text[at[2]:at[3]], text[at[4]:at[5]]
		end := "{{/" + field + "}}"
		stop := at[0] + strings.Index(text[at[0]:], end)
		body := text[at[6]:stop]
		text = text[:at[0]] + renderSection(kind, body, v[field], v) + text[stop+len(end):]
	}
	return placeholder.ReplaceAllStringFunc(text, func(found string) string {
		value, _ := v[strings.Trim(found, "{}")].(string)
		return value
	})
}

func renderSection(kind, body string, value any, v values) string {
	if kind == "^" {
		if value == nil {
			return render(body, v)
		}
		return ""
	}
	switch value := value.(type) {
	case []string:
		var out strings.Builder
		for i, item := range value {
			comma := ","
			if i == len(value)-1 {
				comma = ""
			}
			out.WriteString(strings.NewReplacer("{{.}}", item, "{{,}}", comma).Replace(body))
		}
		return out.String()
	case string:
		return render(strings.ReplaceAll(body, "{{.}}", value), v)
	default:
		return ""
	}
}

// TestTemplateGivesGoodSettings renders the settings of each role with sample
// values and checks that the program accepts them.
func TestTemplateGivesGoodSettings(t *testing.T) {
	template, err := os.ReadFile("settings.yaml.tmpl")
	assert.NilError(t, err)
	host := values{
		"node": "host-1", "zone": "z", "ip": "10.1.0.13", "portRange.0": "7720", "portRange.1": "7721",
		"seeds": []string{"10.1.0.17:8166", "10.2.0.34:8166"}, "bootstrap": "true",
		"bounds.graceS": "6", "limits.memoryMb": "284", "faultTolerance.machines": "2",
	}
	cases := map[string]values{
		config.RoleDispatcher: {"listen.front": "10.1.0.13:8161", "listen.ready": "10.1.0.13:8167"},
		config.RoleMember:     {"listen.control": "10.1.0.13:8166", "dataDir": "/data/member"},
		config.RoleRunner:     {"listen.control": "10.1.0.13:8166", "app": "10.1.0.13:8165"},
	}
	for role, fields := range cases {
		t.Run(role, func(t *testing.T) {
			text := render(string(template), host.with(fields).with(values{"role": role}))
			s, err := config.Load("settings", []byte(text))
			assert.NilError(t, err, text)
			assert.Assert(t, s.Has(role))
			assert.Equal(t, s.Fleet.SessionAddress(), "10.1.0.13:7720")
			assert.DeepEqual(t, s.Fleet.SeedSessionAddresses(), []string{"10.1.0.17:7720", "10.2.0.34:7720"})
			assert.Equal(t, s.Fleet.Voters(), 5)
			assert.Assert(t, s.Fleet.FirstStart)
		})
	}
}
