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

// configurationResponse is the response of the operator API to a request for the configuration.
type configurationResponse struct {
	Revision int64
	// Changes are the most recent accepted changes, newest last. Summary has one line for each changed resource.
	Changes []struct {
		ID       string
		Revision int64
		At       time.Time
		By       string
		Summary  []string
	}
	Resources []json.RawMessage
}

// getConfiguration returns the configuration of the entry host, parsed and as JSON text.
func (c *client) getConfiguration(ctx context.Context) (configurationResponse, []byte, error) {
	text, err := c.do(ctx, http.MethodGet, "/v1/configuration", nil)
	if err != nil {
		return configurationResponse{}, nil, err
	}
	response, err := parseConfigurationResponse(text)
	return response, text, err
}

func parseConfigurationResponse(text []byte) (configurationResponse, error) {
	var response configurationResponse
	if err := json.Unmarshal(text, &response); err != nil {
		return configurationResponse{}, newError("read configuration", kind.Unavailable, err)
	}
	return response, nil
}

// configuration returns a configuration with the revision and the parsed resources, but without the accepted changes.
func (r configurationResponse) configuration() (configuration.Configuration, error) {
	text, err := json.Marshal(struct{ Resources []json.RawMessage }{r.Resources})
	if err != nil {
		return configuration.Configuration{}, newError("read configuration", kind.Invalid, err)
	}
	resources, err := configuration.ParseResources(text)
	if err != nil {
		return configuration.Configuration{}, newError("read configuration", kind.Invalid, err)
	}
	parsed := configuration.Configuration{Revision: r.Revision}
	for _, declared := range resources {
		parsed = parsed.With(declared)
	}
	return parsed, nil
}

// print writes the revision and one line for each resource.
func (r configurationResponse) print(w io.Writer) error {
	parsed, err := r.configuration()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "revision %d\n", r.Revision)
	for _, declared := range parsed.Resources() {
		if _, err := fmt.Fprintf(w, "%-16s %-20s %s\n", resource.KindOf(declared), declared.ResourceName(), formatFields(declared)); err != nil {
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
