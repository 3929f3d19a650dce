package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"endivewing/api/job"
	"endivewing/api/resource"
	"endivewing/internal/apiclient"
)

// maxApplyAttempts is the maximum number of attempts of a write whose outcome is
// unknown. All attempts carry the same request ID.
const maxApplyAttempts = 5

type applyCommand struct {
	entryFlags
	File  string `short:"f" required:"" placeholder:"FILE" help:"Resource in YAML or JSON."`
	Force bool   `help:"Replace the current version, whatever version the file names."`
}

// Run writes one resource.
func (c *applyCommand) Run(ctx context.Context, o *output) error {
	client, err := c.newClient()
	if err != nil {
		return err
	}
	object, err := readObject(c.File)
	if err != nil {
		return err
	}
	if c.Force {
		if err := setCurrentVersion(ctx, client, object); err != nil {
			return clientError(err)
		}
	}
	return o.apply(ctx, client, c.Output, object)
}

// apply writes a resource and prints it. The write is retried while its outcome
// is unknown.
func (o *output) apply(ctx context.Context, client *apiclient.Client, format string, object *resource.Object) error {
	id := uuid.NewString()
	var got *resource.Object
	err := apiclient.ErrUnknownOutcome
	for attempt := 0; attempt < maxApplyAttempts && errors.Is(err, apiclient.ErrUnknownOutcome); attempt++ {
		got, err = client.Apply(ctx, object, id)
	}
	if err != nil {
		return clientError(err)
	}
	return o.render(format, got, objectTable(*got))
}

func readObject(path string) (*resource.Object, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read resource")
	}
	if text, err = yaml.YAMLToJSON(text); err != nil {
		return nil, eris.Wrapf(err, "decode %s", path)
	}
	object := new(resource.Object)
	return object, eris.Wrapf(json.Unmarshal(text, object), "decode %s", path)
}

// setCurrentVersion sets the resource version of an object to that of the stored
// resource, or to empty when there is none.
func setCurrentVersion(ctx context.Context, client *apiclient.Client, object *resource.Object) error {
	current, err := client.Resource(ctx, object.Kind, object.Metadata.Name)
	var problem *job.Error
	if errors.As(err, &problem) && problem.Code == job.CodeNotFound {
		object.Metadata.ResourceVersion = ""
		return nil
	}
	if err != nil {
		return err
	}
	object.Metadata.ResourceVersion = current.Metadata.ResourceVersion
	return nil
}

type drainCommand struct {
	entryFlags
	Endpoint string `arg:"" help:"Name of the endpoint."`
	Undo     bool   `help:"Send new work to the endpoint again."`
}

// Run sets or clears the drain flag of an endpoint and keeps its other settings.
func (c *drainCommand) Run(ctx context.Context, o *output) error {
	client, err := c.newClient()
	if err != nil {
		return err
	}
	object := &resource.Object{Kind: resource.KindEndpoint, Metadata: resource.Metadata{Name: c.Endpoint}}
	if err := setCurrentVersion(ctx, client, object); err != nil {
		return clientError(err)
	}
	var spec resource.EndpointSpec
	if object.Metadata.ResourceVersion != "" {
		current, err := client.Resource(ctx, resource.KindEndpoint, c.Endpoint)
		if err != nil {
			return clientError(err)
		}
		object.Metadata = current.Metadata
		if spec, err = resource.ParseEndpoint(current.Spec); err != nil {
			return eris.Wrap(err, "decode endpoint")
		}
	}
	spec.Drain = !c.Undo
	if object.Spec, err = json.Marshal(spec); err != nil {
		return eris.Wrap(err, "encode endpoint")
	}
	return o.apply(ctx, client, c.Output, object)
}

type watchCommand struct {
	entryFlags
	Kind  string `arg:"" enum:"endpoints,teams,settings" help:"Kind of resource: endpoints, teams or settings."`
	Count int    `help:"Exit after this number of changes; 0 is no limit."`
}

// Run prints the resources of a kind, and again after each change.
func (c *watchCommand) Run(ctx context.Context, o *output) error {
	client, err := c.newClient()
	if err != nil {
		return err
	}
	version := ""
	for changes := 0; c.Count == 0 || changes < c.Count; {
		var list resource.List
		query := url.Values{"watch": {version}, "wait": {"30s"}}
		path := "/v1/" + c.Kind
		if version != "" {
			path += "?" + query.Encode()
		}
		err := client.Get(ctx, path, &list)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return clientError(err)
		}
		if list.ResourceVersion != version {
			changes++
			if err := o.render(c.Output, list, objectTable(list.Items...)); err != nil {
				return err
			}
		}
		version = list.ResourceVersion
	}
	return nil
}

type dumpCommand struct {
	entryFlags
}

// Run prints the state of the process whose HTTP or debug address is given by
// --entry.
func (c *dumpCommand) Run(ctx context.Context, o *output) error {
	client, err := c.newClient()
	if err != nil {
		return err
	}
	var state json.RawMessage
	if err := client.Get(ctx, "/debug/state", &state); err != nil {
		return clientError(err)
	}
	return o.render(c.Output, state, func(w io.Writer) {
		text, err := yaml.JSONToYAML(state)
		if err != nil {
			text = state
		}
		fmt.Fprintf(w, "%s", text)
	})
}
