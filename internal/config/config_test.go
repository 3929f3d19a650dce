package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `cluster: c
name: n
zone: z
roles: [control, entry]
control_addresses: ["127.0.0.1:1"]
control:
  id: 1
  data: data
  lease: 6s
  members: [{id: 1, name: a, address: "127.0.0.1:1"}]
entry: {max_body: 2MiB}
tls: {insecure_loopback: true}
`

func TestFileOverridesDefaults(t *testing.T) {
	s, err := Load("f", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Control.Lease.String(), "6s")
	assert.Equal(t, s.Entry.MaxBody.String(), "2MiB")
	assert.Equal(t, s.Entry.MaxTasks, Default().Entry.MaxTasks)
}

func TestEveryFindingWithItsPlace(t *testing.T) {
	cases := []struct{ name, change, to, want string }{
		{"unknown key", "entry: {max", "entry: {maxi", "f:11:9: entry.maxi_body: unknown key"},
		{"duration", "lease: 6s", "lease: soon", `f:9:10: control.lease: "soon" is not a duration`},
		{"size", "2MiB", "2 apples", `f:11:19: entry.max_body: "2 apples" is not a size`},
		{"number", "id: 1\n", "id: one\n", "f:7:7: control.id: expected a whole number"},
		{"missing", "zone: z\n", "", "f:1:1: zone: is required"},
		{"role", "[control, entry]", "[control, entri]", `f:4:18: roles[1]: "entri" is not one of`},
		{"host name", `["127.0.0.1:1"]`, `["there:1"]`, "f:5:21: control_addresses[0]: must name its host by IP number"},
		{"duplicate key", "name: n\n", "name: n\nname: m\n", `f:3:1: mapping key "name" already defined at [2:1]`},
		{"submissions forgotten while a task may run", "lease: 6s", "lease: 6s\n  retention: 1m\n  remember: 59m", "control.remember: must be at least 1h"},
		{"open network", "id: 1\n", "id: 1\n  listen: 0.0.0.0:1\n", "f:8:3: control.listen: must be a loopback address"},
		{"no keys", "tls: {insecure_loopback: true}", "", "f:1:1: tls: cert, key and ca are needed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Load("f", []byte(strings.Replace(validSettings, c.change, c.to, 1)))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestFindingsComeTogether(t *testing.T) {
	_, err := Load("f", []byte("rolls: 1\nroles: 3\nlog: {level: loud}\n"))
	var found *FindingsError
	assert.Assert(t, errors.As(err, &found))
	assert.Assert(t, len(found.Findings) >= 5, "%v", err)
}

func TestReferenceIsCurrent(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators", "settings.md"))
	assert.NilError(t, err)
	assert.Equal(t, string(page), Reference())
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("a: [1, {b: &x 2}]\nc: *x\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Load("f", text)
		assert.Assert(t, (s == nil) != (err == nil))
	})
}
