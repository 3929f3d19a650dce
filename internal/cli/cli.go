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
	// exitFailed: the command ran and its answer is a failure, such as a
	// failed job or findings in settings.
	exitFailed = 1
	// exitUsage: the command line was wrong.
	exitUsage = 2
	// exitUnavailable: the service could not be reached or refused; nothing
	// ran.
	exitUnavailable = 3
	// exitUnknown: whether the request took effect is unknown.
	exitUnknown = 4
)

// grammar is the program's command line.
type grammar struct {
	Serve    serveCommand    `cmd:"" help:"Run the roles that a settings file names."`
	Demo     demoCommand     `cmd:"" help:"Run every role in one process and one job through them."`
	Minion   minionCommand   `cmd:"" help:"Run the stand-in minion."`
	Bench    benchCommand    `cmd:"" help:"Load running entries and report lag, failures and messages."`
	Check    checkCommand    `cmd:"" help:"Print every finding of a settings file; start nothing."`
	Submit   submitCommand   `cmd:"" help:"Submit a job and wait for its answer."`
	Get      getCommand      `cmd:"" help:"Print a job."`
	Cancel   cancelCommand   `cmd:"" help:"Cancel a job."`
	Apply    applyCommand    `cmd:"" help:"Write a resource."`
	Watch    watchCommand    `cmd:"" help:"Print resources and their changes."`
	Drain    drainCommand    `cmd:"" help:"Take an endpoint out of work, or back."`
	Member   memberCommand   `cmd:"" help:"Show and change the control members."`
	Dump     dumpCommand     `cmd:"" help:"Print the state of a process."`
	Settings settingsCommand `cmd:"" help:"Print the settings reference."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

// output is where a command writes.
type output struct {
	out, err io.Writer
}

// exitError ends the program with a code; a nil cause prints nothing.
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

// helpShown is the panic value by which kong's exit after --help unwinds.
type helpShown struct{ code int }

// Run parses the arguments, runs the command and returns the exit code. It
// stops the command gracefully on SIGTERM and SIGINT.
func Run(args []string, out, errOut io.Writer) (code int) {
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case helpShown:
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
		kong.Exit(func(code int) { panic(helpShown{code}) }),
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
