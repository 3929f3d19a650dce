package agent

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/fakeminion"
	"endivewing/internal/wire"
)

// roleVariable is the environment variable that makes the test binary run as a
// helper process of a benchmark.
const roleVariable = "ENDIVEWING_BENCH_ROLE"

// runHelperProcess runs the helper process that roleVariable names. It reports
// whether there was one.
func runHelperProcess() bool {
	switch os.Getenv(roleVariable) {
	case "minion":
		m, err := fakeminion.Start(fakeminion.Options{NoOp: true})
		if err != nil {
			panic(err)
		}
		fmt.Println(m.URL())
		_, _ = os.Stdin.Read(make([]byte, 1)) // until the parent closes it
		m.Stop()
	case "entry":
		driveTasks(flag.Args())
	default:
		return false
	}
	return true
}

// forgetLag is the number of tasks that must have ended after those of a job
// before the job is forgotten. None of the job's tasks is outstanding then.
const forgetLag = 2000

// helperCommand returns a command that runs this binary in another role.
func helperCommand(b *testing.B, role string, args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), roleVariable+"="+role)
	c.Stderr = os.Stderr
	return c
}

// BenchmarkProcess measures the agent's own processor time per no-op task. The
// minion and the entry run in other processes.
func BenchmarkProcess(b *testing.B) {
	minion := helperCommand(b, "minion")
	stdin, err := minion.StdinPipe()
	assert.NilError(b, err)
	stdout, err := minion.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, minion.Start())
	defer func() {
		_ = stdin.Close()
		_ = minion.Wait()
	}()
	line := make([]byte, 100)
	n, err := stdout.Read(line)
	assert.NilError(b, err)

	f := newFixtureWith(b, strings.TrimSpace(string(line[:n])), 8)
	f.session.Close()
	entry := helperCommand(b, "entry", f.agent.Address(), fmt.Sprint(f.entry.Incarnation()), fmt.Sprint(f.agent.Incarnation()), fmt.Sprint(b.N))
	b.ResetTimer()
	before := processorTime(b)
	assert.NilError(b, entry.Run())
	used := processorTime(b) - before
	b.ReportMetric(float64(used)/float64(b.N)/1e3, "cpu-us/task")
}

// processorTime returns the processor time that this process has used, in
// nanoseconds.
func processorTime(b *testing.B) int64 {
	var u unix.Rusage
	assert.NilError(b, unix.Getrusage(unix.RUSAGE_SELF, &u))
	return u.Utime.Nano() + u.Stime.Nano()
}

// driveTasks acts as the entry. It keeps as many tasks outstanding as slots are
// granted to it, until all tasks are done.
func driveTasks(args []string) {
	numbers := make([]uint64, 3)
	for i := range numbers {
		numbers[i], _ = strconv.ParseUint(args[i+1], 10, 64)
	}
	group, agent, total := numbers[0], numbers[1], numbers[2]
	inbox := make(chan *wirepb.Envelope, 1024)
	s, err := wire.Dial(context.Background(), args[0], wire.Options{
		Hello:   func() *wirepb.Hello { return &wirepb.Hello{Role: "entry", Cluster: "c", Incarnation: group} },
		Handler: func(_ *wire.Session, e *wirepb.Envelope) { inbox <- e },
		Log:     logr.Discard(),
	})
	if err != nil {
		panic(err)
	}
	s.Start()
	send := func(e *wirepb.Envelope) {
		if err := s.Send(wire.LaneTraffic, e); err != nil {
			panic(err)
		}
	}
	send(&wirepb.Envelope{Body: &wirepb.Envelope_Demand{Demand: &wirepb.Demand{Waiting: 8, Lend: true}}})
	var granted, sent, ended uint64
	payload := make([]byte, 100)
	for ended < total {
		e := <-inbox
		if g := e.GetSlotGrant(); g != nil {
			granted = uint64(g.Slots)
		}
		if u := e.GetTaskUpdate(); u.GetOutcome() == done {
			ended++
			if ended%20 == 0 && ended > forgetLag {
				m := &wirepb.ForgetJobs{Group: group, Epoch: 1, OpenFrom: group + 101 + (ended-forgetLag)/20}
				send(&wirepb.Envelope{Body: &wirepb.Envelope_ForgetJobs{ForgetJobs: m}})
			}
		}
		for ; sent < total && sent-ended < granted; sent++ {
			send(&wirepb.Envelope{Body: &wirepb.Envelope_StartTask{StartTask: &wirepb.StartTask{
				Job: group + 101 + sent/20, Task: uint32(sent % 20), Attempt: 1, Group: group, Epoch: 1,
				Incarnation: agent, Service: "proof", Payload: payload,
			}}})
		}
	}
	s.Close()
}
