package commandline

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/urfave/cli/v3"

	"redwingsill/core/configuration"
	"redwingsill/core/kind"
)

func getCommand() *cli.Command {
	return &cli.Command{
		Name:  "get",
		Usage: "show the current configuration of an entry host",
		Flags: clientFlags(),
		Action: withClient(func(ctx context.Context, c *cli.Command, api *client) error {
			response, text, err := api.getConfiguration(ctx)
			if err != nil {
				return err
			}
			return printConfiguration(c, response, text)
		}),
	}
}

func watchCommand() *cli.Command {
	return &cli.Command{
		Name:  "watch",
		Usage: "show each new configuration of an entry host, until interrupted",
		Flags: clientFlags(&cli.IntFlag{Name: "count", Usage: "the number of configurations after which to stop; 0 for no limit"}),
		Action: withClient(func(ctx context.Context, c *cli.Command, api *client) error {
			after, shown := int64(0), 0
			for limit := c.Int("count"); limit == 0 || shown < limit; {
				text, err := api.do(ctx, http.MethodGet, fmt.Sprintf("/v1/watch?after=%d", after), nil)
				if err != nil {
					return err
				}
				if len(text) == 0 { // no new revision before the watch ended
					continue
				}
				response, err := parseConfigurationResponse(text)
				if err != nil {
					return err
				}
				if err := printConfiguration(c, response, text); err != nil {
					return err
				}
				after = response.Revision
				shown++
			}
			return nil
		}),
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show how a file differs from the current configuration",
		ArgsUsage: "FILE",
		Flags:     clientFlags(),
		Action: withClient(func(ctx context.Context, c *cli.Command, api *client) error {
			response, _, err := api.getConfiguration(ctx)
			if err != nil {
				return err
			}
			current, err := response.configuration()
			if err != nil {
				return err
			}
			text, err := readInput(c.Args().First())
			if err != nil {
				return newError("diff", kind.Invalid, err)
			}
			resources, err := configuration.ParseResources(text)
			if err != nil {
				return newError("diff", kind.Invalid, err)
			}
			next := current
			for _, r := range resources {
				next = next.With(r)
			}
			_, err = fmt.Fprintln(c.Root().Writer, strings.Join(current.Diff(next), "\n"))
			return err
		}),
	}
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "show the latest accepted changes",
		Flags: clientFlags(),
		Action: withClient(func(ctx context.Context, c *cli.Command, api *client) error {
			response, _, err := api.getConfiguration(ctx)
			if err != nil {
				return err
			}
			if c.String("format") == "json" {
				return json.NewEncoder(c.Root().Writer).Encode(response.Changes)
			}
			for _, ch := range response.Changes {
				_, _ = fmt.Fprintf(c.Root().Writer, "%d\t%s\t%s\t%s\t%d resources\n", ch.Revision, ch.At.Format("2006-01-02T15:04:05Z07:00"), ch.By, ch.ID, len(ch.Summary))
			}
			return nil
		}),
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain the owner of a key, or the state of a backend server or a request",
		ArgsUsage: "key SERVICE KEY | server NAME | request ID",
		Flags:     clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			args := c.Args().Slice()
			path := ""
			switch {
			case len(args) == 3 && args[0] == "key":
				path = "/v1/explain/keys/" + url.PathEscape(args[1]) + "/" + url.PathEscape(args[2])
			case len(args) == 2 && args[0] == "server":
				path = "/v1/explain/servers/" + url.PathEscape(args[1])
			case len(args) == 2 && args[0] == "request":
				path = "/v1/explain/requests/" + url.PathEscape(args[1])
			default:
				return newError("explain", kind.Invalid, fmt.Errorf("the arguments must be: key SERVICE KEY, server NAME, or request ID"))
			}
			return printGet(ctx, c, path)
		},
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show the state of an entry host",
		Flags:  clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error { return printGet(ctx, c, "/v1/status") },
	}
}

func findCommand() *cli.Command {
	return &cli.Command{
		Name:      "find",
		Usage:     "show whether a change was stored; exit status 2 if the platform does not have it",
		ArgsUsage: "CHANGE",
		Flags:     clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return printGet(ctx, c, "/v1/changes/"+url.PathEscape(c.Args().First()))
		},
	}
}

// printGet prints the response to a GET request: as the JSON text that was received, or as that text without quotes, braces and
// the commas at line ends.
func printGet(ctx context.Context, c *cli.Command, path string) error {
	api, err := newClient(c)
	if err != nil {
		return err
	}
	text, err := api.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if c.String("format") == "json" {
		_, err = c.Root().Writer.Write(text)
		return err
	}
	lines := strings.Split(strings.NewReplacer(`"`, "", ",\n", "\n", "{", "", "}", "").Replace(string(text)), "\n")
	for _, line := range lines {
		if strings.TrimSpace(line) != "" {
			_, _ = fmt.Fprintln(c.Root().Writer, strings.TrimPrefix(line, "  "))
		}
	}
	return nil
}

// printConfiguration prints a configuration as the JSON text that was received, or as a table.
func printConfiguration(c *cli.Command, response configurationResponse, text []byte) error {
	if c.String("format") == "json" {
		_, err := c.Root().Writer.Write(text)
		return err
	}
	return response.print(c.Root().Writer)
}
