package cli

import (
	"errors"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"endivewing/api/job"
	"endivewing/internal/apiclient"
)

// entryFlags holds the flags of every command that sends requests to an entry.
type entryFlags struct {
	Entry     string `default:"http://127.0.0.1:7480" env:"ENDIVEWING_ENTRY" help:"Address of an entry."`
	TokenFile string `env:"ENDIVEWING_TOKEN_FILE" placeholder:"FILE" help:"File with the operators' bearer token."`
	Output    string `short:"o" enum:"json,yaml,table" default:"table" help:"Output format: json, yaml or table."`
}

// newClient returns a client for the entry and token that the flags name.
func (f *entryFlags) newClient() (*apiclient.Client, error) {
	base := f.Entry
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	c := &apiclient.Client{BaseURL: strings.TrimSuffix(base, "/")}
	if f.TokenFile == "" {
		return c, nil
	}
	token, err := os.ReadFile(f.TokenFile)
	if err != nil {
		return nil, eris.Wrap(err, "read token")
	}
	c.Token = strings.TrimSpace(string(token))
	return c, nil
}

// clientError wraps an error of the HTTP client with its exit code.
func clientError(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: clientExitCode(err), cause: err}
}

func clientExitCode(err error) int {
	var problem *job.Error
	switch {
	case errors.Is(err, apiclient.ErrUnreachable):
		return exitUnavailable
	case errors.Is(err, apiclient.ErrUnknownOutcome):
		return exitUnknown
	case !errors.As(err, &problem):
		return exitFailed
	case problem.Code == job.CodeUnknown:
		return exitUnknown
	case problem.Code == job.CodeRefused || problem.Code == job.CodeUnavailable:
		return exitUnavailable
	default:
		return exitFailed
	}
}
