package scenarios

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"endivewing/internal/cli"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"endivewing": func() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// stageKey finds the script's stage in its environment.
type stageKey struct{}

// stage is what one script works on.
type stage struct {
	fleet   *fleet
	loads   map[string]chan []*caller
	callers []*caller
	watches map[string]*versionWatch
	marks   map[string]int64 // Unix nanoseconds
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			s := &stage{
				fleet:   newFleet(e.WorkDir),
				loads:   map[string]chan []*caller{},
				watches: map[string]*versionWatch{},
				marks:   map[string]int64{},
			}
			e.Values[stageKey{}] = s
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
			"start":     onEach(func(f *fleet, name string) error { return f.start(name) }),
			"crash":     onEach(func(f *fleet, name string) error { return f.nodes[name].Kill() }),
			"shutdown":  onEach(func(f *fleet, name string) error { return f.nodes[name].Stop() }),
			"freeze":    onEach((*fleet).freeze),
			"thaw":      onEach((*fleet).thaw),
			"cut":       onEach(func(f *fleet, name string) error { f.setCut(name, true); return nil }),
			"heal":      onEach(func(f *fleet, name string) error { f.setCut(name, false); return nil }),
			"wipe": onEach(func(f *fleet, name string) error {
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

func stageOf(ts *testscript.TestScript) *stage { return ts.Value(stageKey{}).(*stage) }

// onEach makes a command that does one thing to each named process.
func onEach(do func(f *fleet, name string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		f := stageOf(ts).fleet
		for _, name := range args {
			if f.nodes[name] == nil {
				ts.Fatalf("no process %s", name)
			}
			if err := do(f, name); err != nil {
				ts.Fatalf("%s: %v", name, err)
			}
		}
	}
}

// numbers reads arguments such as jobs=20 over defaults.
func numbers(ts *testscript.TestScript, args []string, defaults map[string]int) map[string]int {
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

// cmdFleet starts a deployment: fleet control=3 entry=2 agent=3 slots=8. With
// failing=N, minion N fails all its tasks; with slow=N, minion N takes ten times
// as long.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	n := numbers(ts, args, map[string]int{"control": 3, "entry": 2, "agent": 3, "slots": 8, "failing": 0, "slow": 0, "keys": 0, "max_wait_ms": patientMS})
	f := stageOf(ts).fleet
	f.maxWaitMS = n["max_wait_ms"]
	if n["keys"] > 0 {
		if err := f.useKeys(); err != nil {
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
	err := f.launch(size{control: n["control"], entry: n["entry"], agent: n["agent"], slots: n["slots"]})
	if err != nil {
		ts.Fatalf("%v", err)
	}
	for _, name := range f.names() {
		variable := strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
		ts.Setenv(variable, "http://"+f.link(anyone, name, "entry").Address())
		ts.Setenv("DEBUG_"+variable, "http://"+f.link(anyone, name, "debug").Address())
	}
}

// cmdLoad starts callers in the background: load NAME jobs=50 tasks=5 ....
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	s := stageOf(ts)
	n := numbers(ts, args[1:], map[string]int{"jobs": 40, "tasks": 6, "sleep_ms": 40, "every_ms": 10, "fail": 0, "cancel": 0, "seed": 1})
	l := callerLoad{
		jobs:    n["jobs"],
		tasks:   n["tasks"],
		sleepMS: n["sleep_ms"],
		every:   time.Duration(n["every_ms"]) * time.Millisecond,
		seed:    uint64(n["seed"]),
		fail:    n["fail"],
		cancel:  n["cancel"],
	}
	done := make(chan []*caller, 1)
	s.loads[args[0]] = done
	entries := s.fleet.entries()
	go func() { done <- l.run(args[0], entries) }()
}

// cmdJoinLoad waits until each caller of the named loads has its last word.
func cmdJoinLoad(ts *testscript.TestScript, _ bool, args []string) {
	s := stageOf(ts)
	for _, name := range args {
		callers := <-s.loads[name]
		s.callers = append(s.callers, callers...)
		ts.Logf("%s: %s", name, summary(callers))
	}
}

// summary counts the last words.
func summary(callers []*caller) string {
	counts := map[string]int{}
	refusals := 0
	for _, c := range callers {
		counts[c.word()]++
		refusals += c.refusals
	}
	return fmt.Sprintf("%v, %d tries refused as not run", counts, refusals)
}

// word is the caller's last word: complete, failed:reason, refused:code or none.
func (c *caller) word() string {
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

// cmdJudge fails the script on any breach of a promise.
func cmdJudge(ts *testscript.TestScript, _ bool, _ []string) {
	s := stageOf(ts)
	breaches, err := judge(s.fleet.minions, s.callers)
	if err != nil {
		ts.Fatalf("%v", err)
	}
	if len(breaches) > 0 {
		ts.Fatalf("promises broken:\n%s", strings.Join(breaches, "\n"))
	}
	ts.Logf("judged %d callers", len(s.callers))
}

// cmdExpect holds every last word against the allowed ones:
// expect complete failed:agent_lost.
func cmdExpect(ts *testscript.TestScript, _ bool, args []string) {
	for _, c := range stageOf(ts).callers {
		allowed := false
		for _, word := range args {
			allowed = allowed || word == c.word()
		}
		if !allowed {
			ts.Fatalf("%s: %s is not one of %v", c.submission.SubmissionID, c.word(), args)
		}
	}
}

// cmdAddMember starts a member that waits to be added: add-member 4.
func cmdAddMember(ts *testscript.TestScript, _ bool, args []string) {
	id, err := strconv.Atoi(args[0])
	if err == nil {
		err = stageOf(ts).fleet.addMember(id)
	}
	if err != nil {
		ts.Fatalf("%v", err)
	}
}

// cmdPause lets a fault last: pause 2s. No verdict depends on it.
func cmdPause(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		ts.Fatalf("%v", err)
	}
	time.Sleep(d)
}
