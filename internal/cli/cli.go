// Package cli holds the commands of the endivewing program.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes of the program.
const (
	exitOK = 0
	// exitFailed means that the command ran and its result is a failure, such as
	// a failed job or findings in settings.
	exitFailed = 1
	// exitUsage means that the command line was invalid.
	exitUsage = 2
	// exitUnavailable means that the service could not be reached or refused the
	// request; nothing ran.
	exitUnavailable = 3
	// exitUnknown means that it is unknown whether the request took effect.
	exitUnknown = 4
)

// grammar declares the command line of the program for kong.
type grammar struct {
	Serve    serveCommand    `cmd:"" help:"Run the roles that a settings file lists."`
	Demo     demoCommand     `cmd:"" help:"Run the control, entry and agent roles in one process and submit one job."`
	Minion   minionCommand   `cmd:"" help:"Run a simulated minion for tests."`
	Bench    benchCommand    `cmd:"" help:"Submit jobs to running entries and report lag, failures and messages."`
	Check    checkCommand    `cmd:"" help:"Print every finding of a settings file; start nothing."`
	Submit   submitCommand   `cmd:"" help:"Submit a job and wait for its answer."`
	Get      getCommand      `cmd:"" help:"Print a job."`
	Cancel   cancelCommand   `cmd:"" help:"Cancel a job."`
	Apply    applyCommand    `cmd:"" help:"Write a resource."`
	Watch    watchCommand    `cmd:"" help:"Print resources and their changes."`
	Drain    drainCommand    `cmd:"" help:"Stop sending new work to an endpoint, or resume it."`
	Member   memberCommand   `cmd:"" help:"Show and change the control members."`
	Dump     dumpCommand     `cmd:"" help:"Print the state of a process."`
	Settings settingsCommand `cmd:"" help:"Print the settings reference."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

// output holds the writers for the output and the messages of a command.
type output struct {
	out, err io.Writer
}

// exitError ends the program with an exit code. The cause is printed unless it is
// nil.
type exitError struct {
	code  int
	cause error
}

// Error implements error.
func (e *exitError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("exit %d", e.code)
	}
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

// kongExit is the panic value with which kong's exit function, called after
// --help, returns control to Run.
type kongExit struct{ code int }

// Run parses the arguments, runs the command and returns the exit code. SIGTERM
// and SIGINT cancel the context of the command, which then stops gracefully.
func Run(args []string, out, errOut io.Writer) (code int) {
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case kongExit:
			code = cause.code
		default:
			panic(cause)
		}
	}()
	var g grammar
	parser, err := kong.New(&g,
		kong.Name("endivewing"),
		kong.Description("A dispatcher for sub-second tasks."),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { panic(kongExit{code}) }),
		kong.UsageOnError(),
	)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	return exitCode(parsed.Run(&output{out: out, err: errOut}), errOut)
}

func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return exitOK
	}
	var exit *exitError
	if !errors.As(err, &exit) {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	if exit.cause != nil {
		fmt.Fprintln(errOut, exit.cause)
	}
	return exit.code
}
