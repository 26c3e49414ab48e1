package commandline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// field is a field of a JSON object.
type field struct {
	name  string
	value json.RawMessage
}

// orderedFields returns the fields of a JSON object in their order.
func orderedFields(text []byte) ([]field, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return nil, fmt.Errorf("not an object: %v", err)
	}
	var all []field
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return nil, err
		}
		f := field{name: fmt.Sprint(name)}
		if err := d.Decode(&f.value); err != nil {
			return nil, err
		}
		all = append(all, f)
	}
	return all, nil
}

// shortOf returns a value as a cell of a table.
func formatCell(value json.RawMessage) string {
	text := strings.Trim(string(value), `"`)
	if n, err := strconv.ParseFloat(text, 64); err == nil && strings.Contains(text, ".") {
		return strconv.FormatFloat(n, 'f', 3, 64)
	}
	return text
}
