package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"endivewing/api/job"
	"endivewing/api/resource"
)

// render writes a value as json, yaml or a table. table writes the rows, with
// cells separated by tabs.
func (o *output) render(format string, v any, table func(io.Writer)) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode output")
	}
	switch format {
	case "json":
		_, err = fmt.Fprintf(o.out, "%s\n", text)
	case "yaml":
		if text, err = yaml.JSONToYAML(text); err == nil {
			_, err = o.out.Write(text)
		}
	default:
		w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
		table(w)
		err = w.Flush()
	}
	return err
}

func jobTable(j *job.Job) func(io.Writer) {
	return func(w io.Writer) {
		fmt.Fprintln(w, "JOB\tTEAM\tSUBMISSION\tSTATE\tTASKS")
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", j.ID, j.Team, j.SubmissionID, j.State, j.Tasks)
		if f := j.Failure; f != nil {
			fmt.Fprintf(w, "failed: %s\tnot run: %t\t%s\n", f.Reason, f.NotRun, f.Detail)
		}
		for i, r := range j.Results {
			fmt.Fprintf(w, "task %d\t%s\n", i, r.Payload)
		}
	}
}

func objectTable(objects ...resource.Object) func(io.Writer) {
	return func(w io.Writer) {
		fmt.Fprintln(w, "KIND\tNAME\tVERSION\tIN FORCE\tSPEC")
		for _, o := range objects {
			inForce := o.Status != nil && o.Status.InForce
			fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%s\n", o.Kind, o.Metadata.Name, o.Metadata.ResourceVersion, inForce, o.Spec)
		}
	}
}
