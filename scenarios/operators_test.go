package scenarios

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"endivewing/api/job"
	"endivewing/api/resource"
	"endivewing/internal/apiclient"
	"endivewing/internal/fakeminion"
)

// counterName is the name of a setting, the counter, that operators raise with
// compare-and-set.
const counterName = "counter"

// counterObject returns the counter as a resource object.
func counterObject(value int, version string) *resource.Object {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	spec, err := json.Marshal(resource.SettingSpec{Value: raw})
	if err != nil {
		panic(err)
	}
	return &resource.Object{
		Kind:     resource.KindSetting,
		Metadata: resource.Metadata{Name: counterName, ResourceVersion: version},
		Spec:     spec,
	}
}

// waitForCounter reads the counter. It retries until the entry has a confirmed view of
// the configuration.
func waitForCounter(ts *testscript.TestScript, c *apiclient.Client) (value int, version string) {
	err := eventually(func(ctx context.Context) (err error) {
		value, version, err = readCounter(ctx, c)
		return err
	})
	if err != nil {
		ts.Fatalf("%v", err)
	}
	return value, version
}

// readCounter returns the value and the version of the counter. While the counter
// doesn't exist, it returns 0 and an empty version.
func readCounter(ctx context.Context, c *apiclient.Client) (value int, version string, err error) {
	o, err := c.Resource(ctx, resource.KindSetting, counterName)
	var problem *job.Error
	if errors.As(err, &problem) && problem.Code == job.CodeNotFound {
		return 0, "", nil
	}
	if err != nil {
		return 0, "", err
	}
	spec, err := resource.ParseSetting(o.Spec)
	if err != nil {
		return 0, "", err
	}
	value, err = strconv.Atoi(string(spec.Value))
	return value, o.Metadata.ResourceVersion, err
}

// raiseCounter acts as one operator that raises the counter by one, raises times. It
// uses one entry after another, starting with entry number first.
func raiseCounter(entries []*apiclient.Client, first, raises int) error {
	for done, try := 0, 0; done < raises; try++ {
		if try > raises*200 {
			return errors.New("too many attempts to raise the counter")
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		won, err := tryRaise(ctx, entries[(first+try)%len(entries)])
		cancel()
		if err != nil {
			time.Sleep(50 * time.Millisecond)
		}
		if won {
			done++
		}
	}
	return nil
}

// tryRaise reads the counter and writes the next value with the version that it
// read. It resends an unanswered write with the same request ID until the
// outcome is known. won reports whether the write was applied.
func tryRaise(ctx context.Context, c *apiclient.Client) (won bool, err error) {
	value, version, err := readCounter(ctx, c)
	if err != nil {
		return false, err
	}
	o := counterObject(value+1, version)
	id := uuid.NewString()
	for {
		_, err = c.Apply(context.Background(), o, id)
		var problem *job.Error
		switch {
		case err == nil:
			return true, nil
		case errors.As(err, &problem) && problem.Code == job.CodeConflict:
			return false, nil
		case errors.As(err, &problem) && problem.Code == job.CodeInvalid:
			return false, err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// cmdOperators runs concurrent operators that raise the counter at different entries:
// operators count=4 raises=10. Their writes conflict on the version. Afterwards
// the counter must have grown by exactly the number of raises.
func cmdOperators(ts *testscript.TestScript, _ bool, args []string) {
	n := parseNumberArgs(ts, args, map[string]int{"count": 4, "raises": 10})
	entries := stateOf(ts).fleet.entryClients()
	before, _ := waitForCounter(ts, entries[0])
	var wg sync.WaitGroup
	errs := make([]error, n["count"])
	for i := range errs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = raiseCounter(entries, i, n["raises"])
		}()
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		ts.Fatalf("%v", err)
	}
	want := before + n["count"]*n["raises"]
	err := eventually(func(ctx context.Context) error { return checkCounter(ctx, entries, want) })
	if err != nil {
		ts.Fatalf("%v", err)
	}
}

// checkCounter returns an error unless every entry returns the wanted value.
func checkCounter(ctx context.Context, entries []*apiclient.Client, want int) error {
	for _, c := range entries {
		got, _, err := readCounter(ctx, c)
		if err != nil {
			return err
		}
		if got != want {
			return fmt.Errorf("counter is %d, want %d", got, want)
		}
	}
	return nil
}

// cmdResend sends a write, lets another operator write, and sends the first write
// again to another entry. The answer must be the same as the first one, and the
// write must not be applied twice.
func cmdResend(ts *testscript.TestScript, _ bool, _ []string) {
	entries := stateOf(ts).fleet.entryClients()
	ctx := context.Background()
	value, version := waitForCounter(ts, entries[0])
	id := uuid.NewString()
	first, err := entries[0].Apply(ctx, counterObject(value+1, version), id)
	if err != nil {
		ts.Fatalf("first write: %v", err)
	}
	if err := raiseCounter(entries, 1, 1); err != nil {
		ts.Fatalf("second write: %v", err)
	}
	again, err := entries[1].Apply(ctx, counterObject(value+1, version), id)
	if err != nil || again.Metadata.ResourceVersion != first.Metadata.ResourceVersion {
		ts.Fatalf("resent write returned %+v, %v; the first answer was %+v", again, err, first)
	}
	if err := eventually(func(ctx context.Context) error { return checkCounter(ctx, entries, value+2) }); err != nil {
		ts.Fatalf("%v", err)
	}
}

// versionWatch polls the version of the counter at each entry and records every
// version that is smaller than an earlier one from the same entry.
type versionWatch struct {
	stop       chan struct{}
	done       sync.WaitGroup
	mu         sync.Mutex
	violations []string
	reads      int
}

// cmdWatchVersions starts a versionWatch: watch-versions NAME.
func cmdWatchVersions(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	w := &versionWatch{stop: make(chan struct{})}
	s.watches[args[0]] = w
	for _, c := range s.fleet.entryClients() {
		w.done.Add(1)
		go w.pollVersions(c)
	}
}

// pollVersions polls one entry until the watch is stopped.
func (w *versionWatch) pollVersions(c *apiclient.Client) {
	defer w.done.Done()
	var newest uint64
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, text, err := readCounter(ctx, c)
		cancel()
		version, ok := resource.ParseVersion(text)
		// An empty version means that the counter doesn't exist. No operator
		// deletes it, so after a first version this is a violation.
		gone := err == nil && text == "" && newest > 0
		if !gone && (err != nil || !ok) {
			continue
		}
		w.mu.Lock()
		w.reads++
		if version < newest {
			w.violations = append(w.violations, fmt.Sprintf("%s: version %d after %d", c.BaseURL, version, newest))
		}
		w.mu.Unlock()
		newest = max(newest, version)
	}
}

// cmdJoinWatch stops a versionWatch and fails if a version decreased: join-watch NAME.
func cmdJoinWatch(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts).watches[args[0]]
	close(w.stop)
	w.done.Wait()
	if len(w.violations) > 0 {
		ts.Fatalf("resource version decreased:\n%s", strings.Join(w.violations, "\n"))
	}
	ts.Logf("%d versions read", w.reads)
}

// cmdAwaitInForce waits until a resource is in force at every process:
// await-in-force endpoint agent-1.
func cmdAwaitInForce(ts *testscript.TestScript, _ bool, args []string) {
	c := stateOf(ts).fleet.entryClients()[0]
	err := eventually(func(ctx context.Context) error {
		o, err := c.Resource(ctx, resource.Kind(args[0]), args[1])
		if err == nil && (o.Status == nil || !o.Status.InForce) {
			err = fmt.Errorf("%s %s is not in force", args[0], args[1])
		}
		return err
	})
	if err != nil {
		ts.Fatalf("%v", err)
	}
}

// cmdMark stores the current time under a name: mark NAME.
func cmdMark(ts *testscript.TestScript, _ bool, args []string) {
	stateOf(ts).marks[args[0]] = time.Now().UnixNano()
}

// cmdQuiet fails if a minion started a task after a mark: quiet minion-1 MARK.
// With "!", it fails if the minion started none.
func cmdQuiet(ts *testscript.TestScript, neg bool, args []string) {
	s := stateOf(ts)
	lines, err := fakeminion.ReadRecord(filepath.Join(s.fleet.dir, args[0]+".record"))
	if err != nil {
		ts.Fatalf("%v", err)
	}
	started := 0
	for _, line := range lines {
		if line.Event == fakeminion.EventStart && line.UnixNS > s.marks[args[1]] {
			started++
		}
	}
	if (started == 0) == neg {
		ts.Fatalf("%s started %d tasks after %s", args[0], started, args[1])
	}
}
