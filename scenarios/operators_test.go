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
	"endivewing/internal/standin"
)

// counter is a setting whose value operators raise by compare-and-set.
const counter = "counter"

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
		Metadata: resource.Metadata{Name: counter, ResourceVersion: version},
		Spec:     spec,
	}
}

// awaitCounter reads the counter once the entry has a confirmed view.
func awaitCounter(ts *testscript.TestScript, c *apiclient.Client) (value int, version string) {
	err := eventually(func(ctx context.Context) (err error) {
		value, version, err = readCounter(ctx, c)
		return err
	})
	if err != nil {
		ts.Fatalf("%v", err)
	}
	return value, version
}

// readCounter reads the counter; 0 and no version while there is none.
func readCounter(ctx context.Context, c *apiclient.Client) (value int, version string, err error) {
	o, err := c.Resource(ctx, resource.KindSetting, counter)
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

// operator raises the counter so many times, each time with the version it
// read, and repeats a write with its request ID until the answer is known.
func operator(entries []*apiclient.Client, first, raises int) error {
	for done, try := 0, 0; done < raises; try++ {
		if try > raises*200 {
			return errors.New("the operator never gets through")
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		won, err := raise(ctx, entries[(first+try)%len(entries)])
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

// raise tries once; won tells that this operator's write took effect.
func raise(ctx context.Context, c *apiclient.Client) (won bool, err error) {
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

// cmdOperators lets operators at different entries race with equal versions:
// operators 4 raises=10. The counter must then be exactly the sum.
func cmdOperators(ts *testscript.TestScript, _ bool, args []string) {
	n := numbers(ts, args, map[string]int{"count": 4, "raises": 10})
	entries := stageOf(ts).fleet.entries()
	before, _ := awaitCounter(ts, entries[0])
	var wg sync.WaitGroup
	errs := make([]error, n["count"])
	for i := range errs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = operator(entries, i, n["raises"])
		}()
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		ts.Fatalf("%v", err)
	}
	want := before + n["count"]*n["raises"]
	err := eventually(func(ctx context.Context) error { return counterIs(ctx, entries, want) })
	if err != nil {
		ts.Fatalf("%v", err)
	}
}

func counterIs(ctx context.Context, entries []*apiclient.Client, want int) error {
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

// cmdResend writes once, lets another operator write, and sends the first
// write again at another entry: it must get its first answer.
func cmdResend(ts *testscript.TestScript, _ bool, _ []string) {
	entries := stageOf(ts).fleet.entries()
	ctx := context.Background()
	value, version := awaitCounter(ts, entries[0])
	id := uuid.NewString()
	first, err := entries[0].Apply(ctx, counterObject(value+1, version), id)
	if err != nil {
		ts.Fatalf("first write: %v", err)
	}
	if err := operator(entries, 1, 1); err != nil {
		ts.Fatalf("second write: %v", err)
	}
	again, err := entries[1].Apply(ctx, counterObject(value+1, version), id)
	if err != nil || again.Metadata.ResourceVersion != first.Metadata.ResourceVersion {
		ts.Fatalf("resend got %+v, %v; the first answer was %+v", again, err, first)
	}
	if err := eventually(func(ctx context.Context) error { return counterIs(ctx, entries, value+2) }); err != nil {
		ts.Fatalf("%v", err)
	}
}

// versionWatch reads the counter's version at each entry again and again and
// notes every version that is smaller than one seen there before.
type versionWatch struct {
	stop     chan struct{}
	done     sync.WaitGroup
	mu       sync.Mutex
	breaches []string
	reads    int
}

// cmdWatchVersions starts a watch: watch-versions NAME.
func cmdWatchVersions(ts *testscript.TestScript, _ bool, args []string) {
	s := stageOf(ts)
	w := &versionWatch{stop: make(chan struct{})}
	s.watches[args[0]] = w
	for _, c := range s.fleet.entries() {
		w.done.Add(1)
		go w.follow(c)
	}
}

func (w *versionWatch) follow(c *apiclient.Client) {
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
		// No version means that there is no counter, and nobody deletes it.
		gone := err == nil && text == "" && newest > 0
		if !gone && (err != nil || !ok) {
			continue
		}
		w.mu.Lock()
		w.reads++
		if version < newest {
			w.breaches = append(w.breaches, fmt.Sprintf("%s: version %d after %d", c.BaseURL, version, newest))
		}
		w.mu.Unlock()
		newest = max(newest, version)
	}
}

// cmdJoinWatch ends a watch and fails on any version that went back.
func cmdJoinWatch(ts *testscript.TestScript, _ bool, args []string) {
	w := stageOf(ts).watches[args[0]]
	close(w.stop)
	w.done.Wait()
	if len(w.breaches) > 0 {
		ts.Fatalf("configuration went back:\n%s", strings.Join(w.breaches, "\n"))
	}
	ts.Logf("%d reads", w.reads)
}

// cmdAwaitInForce waits until a resource is in force at every process:
// await-in-force endpoint agent-1.
func cmdAwaitInForce(ts *testscript.TestScript, _ bool, args []string) {
	c := stageOf(ts).fleet.entries()[0]
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

// cmdMark notes the present moment under a name.
func cmdMark(ts *testscript.TestScript, _ bool, args []string) {
	stageOf(ts).marks[args[0]] = time.Now().UnixNano()
}

// cmdQuiet fails if a minion started a task after a mark: quiet minion-1 MARK.
// With "!", it fails if the minion started none.
func cmdQuiet(ts *testscript.TestScript, neg bool, args []string) {
	s := stageOf(ts)
	lines, err := standin.ReadRecord(filepath.Join(s.fleet.dir, args[0]+".record"))
	if err != nil {
		ts.Fatalf("%v", err)
	}
	started := 0
	for _, line := range lines {
		if line.Event == standin.EventStart && line.UnixNS > s.marks[args[1]] {
			started++
		}
	}
	if (started == 0) == neg {
		ts.Fatalf("%s started %d tasks after %s", args[0], started, args[1])
	}
}
