package registry_test

import (
	"strings"
	"testing"

	"redwingsill/core/holding"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/io/registry"
)

// Owners without a fencing token or with a part of the keys would be granted again while their holders still hold them.
func TestOwnersThatCannotHaveBeenSavedAreAnError(t *testing.T) {
	sound := `{"From":0,"To":9,"Owner":"a@1","Fence":7}`
	for _, value := range []string{
		"", "null", "{}", "[]", `"text"`, `{"Holdings":[],"Fence":7}x`, `{"Holdings":[` + sound + `],"Fen`,
		`{"Holdings":[` + sound + `]}`,
		`{"Holdings":[` + sound + `],"Fence":0}`,
		`{"Holdings":[` + sound + `],"Fence":6}`,
		`{"Holdings":[` + sound + `],"Fence":-7}`,
		`{"Holdings":[` + sound + `],"Fence":9223372036854775807}`,
		`{"Holdings":[` + sound + `],"Fence":9223372036854775808}`,
		`{"Holdings":[` + sound + `],"Fence":1e400}`,
		`{"Holdings":[` + sound + `,{"From":10,"To":12,"Owner":"b@1","Fence":8}],"Fence":7}`,
		`{"Holdings":[{"From":0,"To":65536,"Owner":"a@1","Fence":7}],"Fence":7}`,
		`{"Holdings":[{"From":0,"To":4611686018427387904,"Owner":"a@1","Fence":7}],"Fence":7}`,
		`{"Holdings":[{"From":-1,"To":9,"Owner":"a@1","Fence":7}],"Fence":7}`,
		`{"Holdings":[{"From":9,"To":0,"Owner":"a@1","Fence":7}],"Fence":7}`,
		`{"Holdings":[{"From":0,"To":9,"Owner":"","Fence":7}],"Fence":7}`,
		`{"Holdings":[{"From":0,"To":9,"Owner":"a@1","Fence":0}],"Fence":7}`,
		`{"Holdings":[null],"Fence":7}`,
		`{"Holdings":` + strings.Repeat("[", 1_000_000) + `}`,
	} {
		if m, fence, err := registry.DecodeOwners([]byte(value)); err == nil {
			t.Errorf("%.100q: holdings %v and the token %d, want an error", value, m.Holdings(), fence)
		}
	}
}

func TestSavedOwnersAreRead(t *testing.T) {
	holdings := []holding.Holding{{Range: keyrange.Range{From: 0, To: 4}, Owner: "a@1", Fence: 7}, {Range: keyrange.Range{From: 5, To: keyrange.MaxKey}, Owner: "b@0", Fence: 3}}
	for _, want := range []keymap.Map{keymap.New(), keymap.New(holdings...)} {
		value, err := registry.EncodeOwners(want, 1<<40, "w")
		if err != nil {
			t.Fatal(err)
		}
		got, fence, err := registry.DecodeOwners(value)
		if err != nil || fence != 1<<40 || len(got.Holdings()) != len(want.Holdings()) {
			t.Errorf("%s: holdings %v, token %d and error %v", value, got.Holdings(), fence, err)
		}
	}
}
