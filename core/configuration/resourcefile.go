package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"sigs.k8s.io/yaml"

	"redwingsill/core/kind"
	"redwingsill/core/problem"
	"redwingsill/core/resource"
)

// Parse decodes a configuration from the JSON form that the platform stores. The error is an [*Error] of kind Invalid.
func Parse(text []byte) (Configuration, error) {
	var c Configuration
	if err := json.Unmarshal(text, &c); err != nil {
		return Configuration{}, newError("parse", kind.Invalid, problem.New("configuration", err.Error(), "JSON"))
	}
	return c, nil
}

// ParseResources parses a YAML or JSON file of resources: an object whose field Resources lists objects, each with its
// Kind and the fields of that kind. Unknown fields are rejected. The error is an [*Error] of kind Invalid that
// lists every object that can't be parsed.
func ParseResources(text []byte) ([]resource.Resource, error) {
	const op = "parse resources"
	asJSON, err := yaml.YAMLToJSONStrict(text)
	if err != nil {
		return nil, newError(op, kind.Invalid, problem.New("file", err.Error(), "YAML or JSON"))
	}
	var file struct{ Resources []json.RawMessage }
	if err := decodeStrict(asJSON, &file); err != nil {
		return nil, newError(op, kind.Invalid, problem.New("file", err.Error(), "an object with the field Resources"))
	}
	var all []resource.Resource
	var problems []problem.Problem
	for i, raw := range file.Resources {
		r, err := parseResource(raw)
		if err != nil {
			problems = append(problems, problem.New(fmt.Sprintf("Resources[%d]", i), err.Error(), "the fields of its Kind"))
			continue
		}
		all = append(all, r)
	}
	if len(problems) > 0 {
		return nil, newError(op, kind.Invalid, problems...)
	}
	return all, nil
}

// FormatResources returns the JSON file form of resources, which [ParseResources] accepts.
func FormatResources(all []resource.Resource) ([]byte, error) {
	objects := []map[string]any{}
	for _, r := range all {
		text, err := json.Marshal(r)
		if err != nil {
			return nil, err
		}
		fields := map[string]any{}
		if err := json.Unmarshal(text, &fields); err != nil {
			return nil, err
		}
		fields["Kind"] = resource.KindOf(r)
		objects = append(objects, fields)
	}
	return json.MarshalIndent(map[string]any{"Resources": objects}, "", "  ")
}

func parseResource(raw json.RawMessage) (resource.Resource, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	var name string
	if err := json.Unmarshal(fields["Kind"], &name); err != nil {
		return nil, fmt.Errorf("the field Kind is missing or not a text")
	}
	delete(fields, "Kind")
	rest, err := json.Marshal(fields)
	if err != nil {
		return nil, err
	}
	switch name {
	case "DataCentre":
		return decode[resource.DataCentre](rest)
	case "Service":
		return decode[resource.Service](rest)
	case "BackendServer":
		return decode[resource.BackendServer](rest)
	case "Rank":
		return decode[resource.Rank](rest)
	case "OwnershipPolicy":
		return decode[resource.OwnershipPolicy](rest)
	}
	return nil, fmt.Errorf("kind %q is not DataCentre, Service, BackendServer, Rank or OwnershipPolicy", name)
}

func decode[R resource.Resource](raw []byte) (resource.Resource, error) {
	var r R
	if err := decodeStrict(raw, &r); err != nil {
		return nil, err
	}
	return r, nil
}

// decodeStrict decodes exactly one JSON value and rejects unknown fields.
func decodeStrict(raw []byte, target any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("text after the end of the value")
	}
	return nil
}
