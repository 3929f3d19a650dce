package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	apijob "endivewing/api/job"
	"endivewing/api/resource"
)

// fakeBackend answers all calls and records the submissions and changes.
type fakeBackend struct {
	submitted []*apijob.Submission
	changes   []Change
}

func (b *fakeBackend) Submit(_ context.Context, s *apijob.Submission, _ time.Duration) (*apijob.Job, error) {
	b.submitted = append(b.submitted, s)
	return &apijob.Job{ID: "j1", State: apijob.Complete}, nil
}

func (b *fakeBackend) Job(context.Context, uint64, time.Duration) (*apijob.Job, error) {
	return &apijob.Job{ID: "j1", State: apijob.Open}, nil
}

func (b *fakeBackend) JobBySubmission(context.Context, string, string, time.Duration) (*apijob.Job, error) {
	return nil, &apijob.Error{Code: apijob.CodeNotFound, Reason: "no such job"}
}

func (b *fakeBackend) Cancel(context.Context, uint64, time.Duration, bool) (*apijob.Job, error) {
	return &apijob.Job{ID: "j1", State: apijob.Failed, Failure: &apijob.Failure{Reason: apijob.ReasonCancelled}}, nil
}

func (b *fakeBackend) List(context.Context, resource.Kind, *uint64) *resource.List {
	return &resource.List{Items: []resource.Object{}}
}

func (b *fakeBackend) Get(resource.Kind, string) *resource.Object { return nil }

func (b *fakeBackend) Apply(_ context.Context, c Change) (*resource.Object, error) {
	b.changes = append(b.changes, c)
	return &resource.Object{Kind: c.Kind, Spec: c.Spec}, nil
}

func (b *fakeBackend) Instances() []resource.InstanceStatus { return nil }

func (b *fakeBackend) Members(context.Context) (*resource.Members, error) {
	return &resource.Members{}, nil
}

func (b *fakeBackend) ViewReady() error { return nil }

func (b *fakeBackend) Ready() error { return nil }

func testOptions() Options {
	return Options{
		JobLimits:    apijob.Limits{Tasks: 3, PayloadBytes: 16, Timeout: time.Hour},
		MaxBodyBytes: 1 << 10,
		Metrics:      http.NotFoundHandler(),
		Dump:         func() any { return nil },
		Log:          logr.Discard(),
	}
}

func send(h http.Handler, method, path, body string, header ...string) (int, *apijob.Error) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	e := &apijob.Error{}
	_ = json.Unmarshal(w.Body.Bytes(), e)
	return w.Code, e
}

func TestInvalidInputNamesItsFieldAndStartsNothing(t *testing.T) {
	long := strings.Repeat("x", 2<<10)
	cases := []struct {
		name, method, path, body string
		status                   int
		field                    string
	}{
		{"empty", "POST", "/v1/jobs", ``, 400, ""},
		{"not JSON", "POST", "/v1/jobs", `{"team":`, 400, ""},
		{"two values", "POST", "/v1/jobs", `{} {}`, 400, ""},
		{"unknown field", "POST", "/v1/jobs", `{"teem":"a"}`, 400, ""},
		{"wrong type", "POST", "/v1/jobs", `{"team":1}`, 400, "team"},
		{"not UTF-8", "POST", "/v1/jobs", "{\"team\":\"\xff\"}", 400, ""},
		{"no submission ID", "POST", "/v1/jobs", `{"team":"a","service":"b","tasks":[{}]}`, 400, "submissionId"},
		{"bad team", "POST", "/v1/jobs", `{"submissionId":"1","team":"A","service":"b","tasks":[{}]}`, 400, "team"},
		{"no tasks", "POST", "/v1/jobs", `{"submissionId":"1","team":"a","service":"b"}`, 400, "tasks"},
		{"many tasks", "POST", "/v1/jobs", `{"submissionId":"1","team":"a","service":"b","tasks":[{},{},{},{}]}`, 400, "tasks"},
		{"payload and data", "POST", "/v1/jobs", `{"submissionId":"1","team":"a","service":"b","tasks":[{"payload":"eA==","data":1}]}`, 400, "tasks[0]"},
		{"large payload", "POST", "/v1/jobs", `{"submissionId":"1","team":"a","service":"b","tasks":[{"data":"12345678901234567"}]}`, 400, "tasks[0].payload"},
		{"long timeout", "POST", "/v1/jobs", `{"submissionId":"1","team":"a","service":"b","timeoutMs":99999999999,"tasks":[{}]}`, 400, "timeoutMs"},
		{"large body", "POST", "/v1/jobs", `{"team":"` + long + `"}`, 413, ""},
		{"bad wait", "POST", "/v1/jobs?wait=soon", `{}`, 400, "wait"},
		{"bad job ID", "GET", "/v1/jobs/7", ``, 400, "id"},
		{"bad job ID", "DELETE", "/v1/jobs/j07", ``, 400, "id"},
		{"unknown path", "GET", "/v2/jobs", ``, 404, ""},
		{"method not allowed", "PATCH", "/v1/jobs", ``, 405, ""},
		{"no spec", "PUT", "/v1/teams/a", `{}`, 400, "spec"},
		{"no weight", "PUT", "/v1/teams/a", `{"spec":{"weight":0}}`, 400, "spec.weight"},
		{"name differs from path", "PUT", "/v1/teams/a", `{"metadata":{"name":"b"},"spec":{"weight":1}}`, 400, "metadata.name"},
		{"bad version", "PUT", "/v1/teams/a", `{"metadata":{"resourceVersion":"x"},"spec":{"weight":1}}`, 400, "metadata.resourceVersion"},
		{"no version", "DELETE", "/v1/teams/a", ``, 400, "resourceVersion"},
		{"bad watch", "GET", "/v1/teams?watch=x", ``, 400, "watch"},
	}
	for _, c := range cases {
		b := &fakeBackend{}
		status, e := send(New(b, testOptions()), c.method, c.path, c.body)
		assert.Equal(t, status, c.status, "%s: %+v", c.name, e)
		assert.Equal(t, e.Field, c.field, "%s: %+v", c.name, e)
		assert.Assert(t, e.Code != "" && e.Reason != "" && e.NotRun, "%s: %+v", c.name, e)
		assert.Equal(t, len(b.submitted)+len(b.changes), 0, c.name)
	}
}

func TestOperatorsNeedTheTokenAndCallersDoNot(t *testing.T) {
	opts := testOptions()
	opts.OperatorToken = func() string { return "secret" }
	h := New(&fakeBackend{}, opts)
	for _, path := range []string{"/v1/teams", "/v1/endpoints", "/v1/settings", "/v1/instances", "/v1/members", "/debug/state"} {
		status, e := send(h, "GET", path, "")
		assert.Equal(t, status, http.StatusUnauthorized, path)
		assert.Equal(t, e.Code, apijob.CodeUnauthorized)
		status, _ = send(h, "GET", path, "", "Authorization", "Bearer secret")
		assert.Equal(t, status, http.StatusOK, path)
	}
	status, _ := send(h, "GET", "/v1/jobs/j1", "")
	assert.Equal(t, status, http.StatusAccepted)

	opts.OperatorToken = func() string { return "" }
	status, _ = send(New(&fakeBackend{}, opts), "GET", "/v1/teams", "", "Authorization", "Bearer ")
	assert.Equal(t, status, http.StatusUnauthorized, "a token that can't be read must match no request")
}

// TestRoutesAndSchemasMatchOpenAPI compares api/openapi.yaml with the routes, the JSON
// names of the types and the error codes.
func TestRoutesAndSchemasMatchOpenAPI(t *testing.T) {
	doc, err := openapi3.NewLoader().LoadFromFile("../../../api/openapi.yaml")
	assert.NilError(t, err)
	assert.NilError(t, doc.Validate(context.Background()))

	param := regexp.MustCompile(`:(\w+)`)
	routes := map[string]bool{}
	for _, r := range New(&fakeBackend{}, testOptions()).Routes() {
		routes[r.Method+" "+param.ReplaceAllString(r.Path, "{$1}")] = true
	}
	described := map[string]bool{}
	for path, item := range doc.Paths.Map() {
		for method := range item.Operations() {
			described[method+" "+path] = true
		}
	}
	assert.DeepEqual(t, routes, described)

	types := map[string]any{
		"Submission": apijob.Submission{}, "Task": apijob.Task{}, "Job": apijob.Job{}, "Result": apijob.Result{},
		"Failure": apijob.Failure{}, "Error": apijob.Error{}, "Finding": apijob.Finding{},
		"Object": resource.Object{}, "Metadata": resource.Metadata{}, "Status": resource.Status{},
		"InstanceStatus": resource.InstanceStatus{}, "List": resource.List{}, "Members": resource.Members{},
		"Member": resource.Member{}, "EndpointSpec": resource.EndpointSpec{}, "TeamSpec": resource.TeamSpec{},
		"SettingSpec": resource.SettingSpec{}, "Instances": instanceList{},
	}
	assert.Equal(t, len(types), len(doc.Components.Schemas))
	for name, v := range types {
		schema := doc.Components.Schemas[name]
		assert.Assert(t, schema != nil, name)
		want := map[string]bool{}
		for property := range schema.Value.Properties {
			want[property] = true
		}
		assert.DeepEqual(t, jsonNames(reflect.TypeOf(v)), want)
	}
	codes := doc.Components.Schemas["Error"].Value.Properties["code"].Value.Enum
	assert.Equal(t, len(codes), len(statusByCode))
	for _, code := range codes {
		assert.Assert(t, statusByCode[apijob.Code(code.(string))] != 0, "%v", code)
	}
}

func jsonNames(typ reflect.Type) map[string]bool {
	names := map[string]bool{}
	for i := range typ.NumField() {
		name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		names[name] = true
	}
	return names
}

// FuzzSubmission checks that any body is either a valid submission or is answered with
// a 4xx error and starts nothing.
func FuzzSubmission(f *testing.F) {
	f.Add([]byte(`{"submissionId":"1","team":"a","service":"b","tasks":[{"payload":"eA=="}]}`))
	f.Add([]byte(`{"submissionId":"1","team":"a","service":"b","tasks":[{"data":{"x":[1]}}],"timeoutMs":5}`))
	f.Add([]byte(`{"tasks":[[]]}`))
	f.Add([]byte("\xff{"))
	f.Fuzz(func(t *testing.T, body []byte) {
		b := &fakeBackend{}
		opts := testOptions()
		r := httptest.NewRequest(http.MethodPost, "/v1/jobs", io.NopCloser(bytes.NewReader(body)))
		w := httptest.NewRecorder()
		New(b, opts).ServeHTTP(w, r)
		if w.Code == http.StatusOK {
			assert.Equal(t, len(b.submitted), 1)
			assert.Equal(t, len(b.submitted[0].Check(opts.JobLimits)), 0)
			return
		}
		assert.Assert(t, w.Code >= 400 && w.Code < 500, "%d", w.Code)
		assert.Equal(t, len(b.submitted), 0)
		var e apijob.Error
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &e))
		assert.Assert(t, e.NotRun && e.Reason != "")
	})
}
