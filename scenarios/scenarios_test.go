package scenarios

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"endivewing/internal/cli"
	"endivewing/internal/fakeminion"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"endivewing": func() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// scriptStateKey is the key of the scriptState in the environment of a script.
type scriptStateKey struct{}

// scriptState is the state that the commands of one script share.
type scriptState struct {
	fleet   *fleet
	loads   map[string]chan []*caller // loads that run in the background
	callers []*caller                 // callers of the finished loads
	watches map[string]*versionWatch
	marks   map[string]int64 // Unix nanoseconds
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			s := &scriptState{
				fleet:   newFleet(e.WorkDir),
				loads:   map[string]chan []*caller{},
				watches: map[string]*versionWatch{},
				marks:   map[string]int64{},
			}
			e.Values[scriptStateKey{}] = s
			e.Defer(s.fleet.close)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fleet":     cmdFleet,
			"strangers": cmdStrangers,
			"load":      cmdLoad,
			"join-load": cmdJoinLoad,
			"judge":     cmdJudge,
			"expect":    cmdExpect,
			"expect-of": cmdExpectOf,
			"crashes":   cmdCrashes,
			"start":     forEachProcess(func(f *fleet, name string) error { return f.start(name) }),
			"crash":     forEachProcess(func(f *fleet, name string) error { return f.processes[name].Kill() }),
			"shutdown":  forEachProcess(func(f *fleet, name string) error { return f.processes[name].Stop() }),
			"freeze":    forEachProcess((*fleet).freeze),
			"thaw":      forEachProcess((*fleet).thaw),
			"cut":       forEachProcess(func(f *fleet, name string) error { f.setCut(name, true); return nil }),
			"heal":      forEachProcess(func(f *fleet, name string) error { f.setCut(name, false); return nil }),
			"wipe": forEachProcess(func(f *fleet, name string) error {
				return os.RemoveAll(filepath.Join(f.dir, name+".data"))
			}),
			"pause":          cmdPause,
			"add-member":     cmdAddMember,
			"operators":      cmdOperators,
			"resend":         cmdResend,
			"watch-versions": cmdWatchVersions,
			"join-watch":     cmdJoinWatch,
			"await-in-force": cmdAwaitInForce,
			"mark":           cmdMark,
			"quiet":          cmdQuiet,
		},
	})
}

func stateOf(ts *testscript.TestScript) *scriptState {
	return ts.Value(scriptStateKey{}).(*scriptState)
}

// forEachProcess returns a command that calls do for each process that its arguments
// name.
func forEachProcess(do func(f *fleet, name string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		f := stateOf(ts).fleet
		for _, name := range args {
			if f.processes[name] == nil {
				ts.Fatalf("no process %s", name)
			}
			if err := do(f, name); err != nil {
				ts.Fatalf("%s: %v", name, err)
			}
		}
	}
}

// parseNumberArgs parses arguments such as jobs=20. It overwrites the values in
// defaults, which also lists the allowed names, and returns it.
func parseNumberArgs(ts *testscript.TestScript, args []string, defaults map[string]int) map[string]int {
	for _, arg := range args {
		key, text, _ := strings.Cut(arg, "=")
		n, err := strconv.Atoi(text)
		if _, known := defaults[key]; !known || err != nil {
			ts.Fatalf("bad argument %q", arg)
		}
		defaults[key] = n
	}
	return defaults
}

// cmdFleet starts a fleet: fleet control=3 entry=2 agent=3 slots=8. With failing=N,
// minion N fails all its tasks. With slow=N, minion N takes ten times as long for
// each task. With keys=1, the fleet uses TLS. With direct_minions=1, no relay stands
// between agents and minions. For each process it sets two variables, such as ENTRY_1
// and DEBUG_ENTRY_1, to the URLs of its ports.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	n := parseNumberArgs(ts, args, map[string]int{"control": 3, "entry": 2, "agent": 3, "slots": 8, "failing": 0, "slow": 0, "keys": 0, "direct_minions": 0, "max_wait_ms": defaultMaxWaitMS})
	f := stateOf(ts).fleet
	f.maxWaitMS = n["max_wait_ms"]
	f.directMinions = n["direct_minions"] > 0
	if n["keys"] > 0 {
		if err := f.enableTLS(); err != nil {
			ts.Fatalf("%v", err)
		}
	}
	f.minionFlags = map[int][]string{}
	if i := n["failing"]; i > 0 {
		f.minionFlags[i] = append(f.minionFlags[i], "--fail-ratio", "1")
	}
	if i := n["slow"]; i > 0 {
		f.minionFlags[i] = append(f.minionFlags[i], "--time-factor", "10")
	}
	err := f.launch(fleetSize{control: n["control"], entry: n["entry"], agent: n["agent"], slots: n["slots"]})
	if err != nil {
		ts.Fatalf("%v", err)
	}
	for _, name := range f.processNames() {
		variable := strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
		ts.Setenv(variable, "http://"+f.relay(anySource, name, "entry").Address())
		ts.Setenv("DEBUG_"+variable, "http://"+f.relay(anySource, name, "debug").Address())
	}
}

// cmdLoad starts callers in the background: load NAME jobs=50 tasks=5 ...
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	n := parseNumberArgs(ts, args[1:], map[string]int{"jobs": 40, "tasks": 6, "sleep_ms": 40, "every_ms": 10, "fail": 0, "cancel": 0, "crash": 0, "crash_ms": 200, "seed": 1})
	l := callerLoad{
		jobs:          n["jobs"],
		maxTasks:      n["tasks"],
		maxSleepMS:    n["sleep_ms"],
		interval:      time.Duration(n["every_ms"]) * time.Millisecond,
		seed:          uint64(n["seed"]),
		failPercent:   n["fail"],
		cancelPercent: n["cancel"],
		crashPercent:  n["crash"],
		crashMS:       n["crash_ms"],
	}
	done := make(chan []*caller, 1)
	s.loads[args[0]] = done
	entries := s.fleet.entryClients()
	go func() { done <- l.run(args[0], entries) }()
}

// cmdJoinLoad waits until each caller of the named loads has its final outcome.
func cmdJoinLoad(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	for _, name := range args {
		callers := <-s.loads[name]
		s.callers = append(s.callers, callers...)
		ts.Logf("%s: %s", name, outcomeSummary(callers))
	}
}

// outcomeSummary returns the number of callers with each final outcome.
func outcomeSummary(callers []*caller) string {
	counts := map[string]int{}
	refusals := 0
	for _, c := range callers {
		counts[c.outcome()]++
		refusals += c.notRunRefusals
	}
	return fmt.Sprintf("%v, %d attempts refused as not run", counts, refusals)
}

// outcome returns the final outcome of the caller: complete, failed:reason,
// refused:code or none.
func (c *caller) outcome() string {
	switch {
	case c.answer != nil && c.answer.Failure != nil:
		return "failed:" + c.answer.Failure.Reason
	case c.answer != nil:
		return string(c.answer.State)
	case c.refused != nil:
		return "refused:" + string(c.refused.Code)
	default:
		return "none"
	}
}

// cmdJudge fails the script if a guarantee was violated.
func cmdJudge(ts *testscript.TestScript, _ bool, _ []string) {
	s := stateOf(ts)
	violations, err := findViolations(s.fleet.minionRecords, s.callers)
	if err != nil {
		ts.Fatalf("%v", err)
	}
	if len(violations) > 0 {
		ts.Fatalf("guarantees violated:\n%s", strings.Join(violations, "\n"))
	}
	ts.Logf("checked %d callers", len(s.callers))
}

// cmdExpect fails the script if a caller has a final outcome that is not listed:
// expect complete failed:agent_lost.
func cmdExpect(ts *testscript.TestScript, _ bool, args []string) {
	expectOutcomes(ts, stateOf(ts).callers, args)
}

// cmdExpectOf is like cmdExpect for the callers of one load:
// expect-of LOAD failed:task_failed.
func cmdExpectOf(ts *testscript.TestScript, _ bool, args []string) {
	var callers []*caller
	for _, c := range stateOf(ts).callers {
		if strings.HasPrefix(c.submission.SubmissionID, args[0]+"-") {
			callers = append(callers, c)
		}
	}
	if len(callers) == 0 {
		ts.Fatalf("no callers of a load %s", args[0])
	}
	expectOutcomes(ts, callers, args[1:])
}

func expectOutcomes(ts *testscript.TestScript, callers []*caller, outcomes []string) {
	for _, c := range callers {
		if !slices.Contains(outcomes, c.outcome()) {
			ts.Fatalf("%s: outcome %s is not one of %v", c.submission.SubmissionID, c.outcome(), outcomes)
		}
	}
}

// cmdCrashes fails the script unless tasks have made minions crash this many times:
// crashes 3.
func cmdCrashes(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	if err != nil {
		ts.Fatalf("bad argument %q", args[0])
	}
	crashes := 0
	for _, path := range stateOf(ts).fleet.minionRecords {
		lines, err := fakeminion.ReadRecord(path)
		if err != nil {
			ts.Fatalf("%v", err)
		}
		for _, line := range lines {
			if line.Event == fakeminion.EventCrash {
				crashes++
			}
		}
	}
	if crashes != want {
		ts.Fatalf("tasks made minions crash %d times, want %d", crashes, want)
	}
}

// cmdAddMember starts a control member that waits until an operator adds it:
// add-member 4.
func cmdAddMember(ts *testscript.TestScript, _ bool, args []string) {
	id, err := strconv.Atoi(args[0])
	if err == nil {
		err = stateOf(ts).fleet.addMember(id)
	}
	if err != nil {
		ts.Fatalf("%v", err)
	}
}

// cmdPause waits while a fault lasts: pause 2s. No check depends on its length.
func cmdPause(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		ts.Fatalf("%v", err)
	}
	time.Sleep(d)
}
