package commandline

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/user"
	"strings"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"redwingsill/core/configuration"
	"redwingsill/core/kind"
	"redwingsill/io/submission"
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "declare the resources of a file; an accepted change is stored on the platform",
		ArgsUsage: "FILE",
		Description: "FILE is YAML or JSON; - is standard input. Exit status: 0 accepted, 1 not accepted, 2 invalid input,\n" +
			"3 conflict with another change, 4 unknown: check with 'redwingsill find CHANGE'.",
		Flags: clientFlags(
			&cli.BoolFlag{Name: "dry-run", Usage: "show what would change without changing it"},
			&cli.Int64Flag{Name: "expected-revision", Usage: "the revision that the change applies to; -1 is the current one", Value: -1},
			stringFlag("change", "REDWINGSILL_CHANGE", "the ID of the change, for the command find; generated if not given", ""),
			&cli.StringSliceFlag{Name: "remove", Usage: "a resource to remove, as Kind/name; may be repeated"},
		),
		Action: runApply,
	}
}

func runApply(ctx context.Context, c *cli.Command) error {
	api, err := newClient(c)
	if err != nil {
		return err
	}
	s, err := newSubmission(c)
	if err != nil {
		return err
	}
	if s.ExpectedRevision < 0 {
		current, _, err := api.getConfiguration(ctx)
		if err != nil {
			return err
		}
		s.ExpectedRevision = current.Revision
	}
	text, err := api.do(ctx, http.MethodPost, "/v1/changes", s)
	if err != nil {
		return err
	}
	if c.String("format") == "json" {
		_, err = c.Root().Writer.Write(text)
		return err
	}
	var result struct {
		ChangeID string
		Revision int64
		Summary  []string
		DryRun   bool
	}
	if err := json.Unmarshal(text, &result); err != nil {
		return newError("apply", kind.Unknown, err)
	}
	verb := "accepted"
	if result.DryRun {
		verb = "would be accepted"
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s as revision %d, change %s\n%s\n", verb, result.Revision, result.ChangeID, strings.Join(result.Summary, "\n"))
	return err
}

// newSubmission builds a submission from the flags and the file of the command. The file is optional if the command removes
// resources. The author is the user of the operating system that runs the command, or "unknown".
func newSubmission(c *cli.Command) (submission.Submission, error) {
	s := submission.Submission{ID: c.String("change"), By: "unknown", ExpectedRevision: c.Int64("expected-revision"), DryRun: c.Bool("dry-run")}
	if s.ID == "" {
		s.ID = uuid.Must(uuid.NewV7()).String()
	}
	if u, err := user.Current(); err == nil {
		s.By = u.Username
	}
	for _, reference := range c.StringSlice("remove") {
		kindName, name, _ := strings.Cut(reference, "/")
		raw, err := json.Marshal(map[string]string{"Kind": kindName, "Name": name})
		if err != nil {
			return s, newError("apply", kind.Invalid, err)
		}
		s.Remove = append(s.Remove, raw)
	}
	if c.Args().Len() == 0 && len(s.Remove) > 0 {
		return s, nil
	}
	if c.Args().Len() != 1 {
		return s, newError("apply", kind.Invalid, fmt.Errorf("one FILE is needed"))
	}
	text, err := readInput(c.Args().First())
	if err != nil {
		return s, newError("apply", kind.Invalid, err)
	}
	declared, err := configuration.ParseResources(text)
	if err != nil {
		return s, newError("apply", kind.Invalid, err)
	}
	// A submission lists its resources as JSON, also if the file is YAML.
	formatted, err := configuration.FormatResources(declared)
	if err != nil {
		return s, newError("apply", kind.Invalid, err)
	}
	var file struct{ Resources []json.RawMessage }
	if err := json.Unmarshal(formatted, &file); err != nil {
		return s, newError("apply", kind.Invalid, err)
	}
	s.Declare = file.Resources
	return s, nil
}
