package commandline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// field is one field of a JSON object.
type field struct {
	name  string
	value json.RawMessage
}

// orderedFields returns the fields of a JSON object in the order in which they appear.
func orderedFields(text []byte) ([]field, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return nil, fmt.Errorf("the text is not a JSON object: %v", err)
	}
	var fields []field
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return nil, err
		}
		f := field{name: fmt.Sprint(name)}
		if err := d.Decode(&f.value); err != nil {
			return nil, err
		}
		fields = append(fields, f)
	}
	return fields, nil
}

// formatCell formats a JSON value for a table. Strings lose their quotes, and numbers with a decimal point, quoted or not, get
// three decimals.
func formatCell(value json.RawMessage) string {
	text := strings.Trim(string(value), `"`)
	if n, err := strconv.ParseFloat(text, 64); err == nil && strings.Contains(text, ".") {
		return strconv.FormatFloat(n, 'f', 3, 64)
	}
	return text
}
