package commandline

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"redwingsill/core/configuration"
	"redwingsill/core/kind"
	"redwingsill/core/resource"
)

// configured is the configuration as an entry host tells it.
type configurationResponse struct {
	Revision int64
	Changes  []struct {
		ID       string
		Revision int64
		At       time.Time
		By       string
		Summary  []string
	}
	Resources []json.RawMessage
}

func (c *client) getConfiguration(ctx context.Context) (configurationResponse, []byte, error) {
	text, err := c.do(ctx, http.MethodGet, "/v1/configuration", nil)
	if err != nil {
		return configurationResponse{}, nil, err
	}
	found, err := parseConfigurationResponse(text)
	return found, text, err
}

func parseConfigurationResponse(text []byte) (configurationResponse, error) {
	var found configurationResponse
	if err := json.Unmarshal(text, &found); err != nil {
		return configurationResponse{}, newError("read configuration", kind.Unavailable, err)
	}
	return found, nil
}

// value returns the configuration that the resources make.
func (c configurationResponse) configuration() (configuration.Configuration, error) {
	text, err := json.Marshal(struct{ Resources []json.RawMessage }{c.Resources})
	if err != nil {
		return configuration.Configuration{}, newError("read configuration", kind.Invalid, err)
	}
	all, err := configuration.ParseResources(text)
	if err != nil {
		return configuration.Configuration{}, newError("read configuration", kind.Invalid, err)
	}
	value := configuration.Configuration{Revision: c.Revision}
	for _, r := range all {
		value = value.With(r)
	}
	return value, nil
}

// print writes a line for each resource.
func (c configurationResponse) print(w io.Writer) error {
	value, err := c.configuration()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "revision %d\n", c.Revision)
	for _, r := range value.Resources() {
		if _, err := fmt.Fprintf(w, "%-16s %-20s %s\n", resource.KindOf(r), r.ResourceName(), formatFields(r)); err != nil {
			return err
		}
	}
	return nil
}

func formatFields(r resource.Resource) string {
	text, err := json.Marshal(r)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
