package registry_test

import (
	"slices"
	"strings"
	"testing"

	"redwingsill/io/registry"
)

// Sets that are read with hosts missing would let a coordinator take the store as reachable by too few of them.
func TestSetsOfHostsThatCannotHaveBeenSavedAreAnError(t *testing.T) {
	for _, value := range []string{
		"", "null", "{}", "[]", `"text"`, `{"Hosts":["a"],"Earlier":[["b"]]}x`, `{"Hosts":["a"],"Earl`,
		`{"Hosts":[]}`,
		`{"Hosts":null,"Earlier":[["a"]]}`,
		`{"Earlier":[["a"]]}`,
		`{"Hosts":["a"],"Earlier":[[]]}`,
		`{"Hosts":["a"],"Earlier":[null]}`,
		`{"Hosts":["a"],"Earlier":["b"]}`,
		`{"Hosts":["a",""]}`,
		`{"Hosts":["a",null]}`,
		`{"Hosts":["a","a"]}`,
		`{"Hosts":["a",7]}`,
		`{"Hosts":["a"],"Earlier":[["b","b"]]}`,
		`{"Hosts":` + strings.Repeat("[", 1_000_000) + `}`,
	} {
		if sets, err := registry.DecodeElectorate([]byte(value)); err == nil {
			t.Errorf("%.100q: sets %v, want an error", value, sets)
		}
	}
}

func TestSavedSetsOfHostsAreRead(t *testing.T) {
	for _, want := range [][][]string{{{"a"}}, {{"a", "b"}, {"c"}, {"a", "d"}}} {
		value, err := registry.EncodeElectorate(want[0], want[1:], "w", 0)
		if err != nil {
			t.Fatal(err)
		}
		got, err := registry.DecodeElectorate(value)
		if err != nil || !slices.EqualFunc(got, want, slices.Equal) || registry.WriteIDOf(value) != "w" {
			t.Errorf("%s: sets %v, error %v and write ID %q", value, got, err, registry.WriteIDOf(value))
		}
	}
}
