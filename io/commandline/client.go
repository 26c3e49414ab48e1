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
	"redwingsill/io/responseconn"
)

// clientTimeout is longer than the 30 s that a watch may stay open.
const clientTimeout = 40 * time.Second

// client calls the operator API of an entry host.
type client struct {
	baseURL string
	token   string
	http    *http.Client
}

func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		stringFlag("operator", "REDWINGSILL_OPERATOR", "the URL of an entry host's operator API", "http://127.0.0.1:8082"),
		stringFlag("operator-token", "REDWINGSILL_OPERATOR_TOKEN", "the token that allows changes", ""),
		stringFlag("format", "REDWINGSILL_FORMAT", "table or json", "table"),
	}, more...)
}

func newClient(c *cli.Command) (*client, error) {
	var v validator
	v.requireURL("--operator", c.String("operator"))
	format := c.String("format")
	v.require(format == "table" || format == "json", "--format", format, "table or json")
	return &client{baseURL: c.String("operator"), token: c.String("operator-token"), http: &http.Client{Transport: responseconn.Transport(&http.Transport{Proxy: http.ProxyFromEnvironment}), Timeout: clientTimeout}}, v.err()
}

// withClient returns the action of a command that calls the operator API, with a client made from the command's settings.
func withClient(action func(ctx context.Context, c *cli.Command, api *client) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		api, err := newClient(c)
		if err != nil {
			return err
		}
		return action(ctx, c, api)
	}
}

// do sends a request, with body as JSON unless it is nil, and returns the response body. An error is an [*Error]: its kind is
// that of the HTTP status if this is 300 or above, Invalid if the request can't be built, or Unknown if there was no complete
// response.
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
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(c.baseURL, "/")+path, reader)
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
