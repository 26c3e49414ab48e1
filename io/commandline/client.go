package commandline

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"redwingsill/core/kind"
)

const clientTimeout = 40 * time.Second

// client speaks to the operators' address of an entry host.
type client struct {
	base  string
	token string
	http  *http.Client
}

func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		stringFlag("operator", "REDWINGSILL_OPERATOR", "the URL of an entry host's operator address", "http://127.0.0.1:8082"),
		stringFlag("operator-token", "REDWINGSILL_OPERATOR_TOKEN", "the token that allows changes", ""),
		stringFlag("format", "REDWINGSILL_FORMAT", "table or json", "table"),
	}, more...)
}

func newClient(c *cli.Command) (*client, error) {
	var wrong validator
	wrong.url("--operator", c.String("operator"))
	format := c.String("format")
	wrong.require(format == "table" || format == "json", "--format", format, "table or json")
	return &client{base: c.String("operator"), token: c.String("operator-token"), http: &http.Client{Timeout: clientTimeout}}, wrong.err()
}

// asOperator returns the action of a command that speaks to an entry host as its settings say.
func withClient(act func(ctx context.Context, c *cli.Command, operators *client) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		operators, err := newClient(c)
		if err != nil {
			return err
		}
		return act(ctx, c, operators)
	}
}

// call sends a request and returns the answer's body. Errors carry the kind that the answer's status stands for.
func (c *client) do(ctx context.Context, method, path string, body any) ([]byte, error) {
	op := method + " " + path
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return nil, newError(op, kind.Invalid, err)
		}
		reader = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(c.base, "/")+path, reader)
	if err != nil {
		return nil, newError(op, kind.Invalid, err)
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return nil, newError(op, kind.Unknown, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, newError(op, kind.Unknown, err)
	}
	if response.StatusCode >= 300 {
		return nil, newError(op, kindOfStatus(response.StatusCode), fmt.Errorf("%s", strings.TrimSpace(string(text))))
	}
	return text, nil
}

func kindOfStatus(status int) kind.Kind {
	switch status {
	case http.StatusBadRequest:
		return kind.Invalid
	case http.StatusNotFound:
		return kind.NotFound
	case http.StatusUnauthorized:
		return kind.Denied
	case http.StatusConflict:
		return kind.Conflict
	case http.StatusGatewayTimeout:
		return kind.Unknown
	}
	return kind.Unavailable
}
