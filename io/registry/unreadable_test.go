package registry_test

import (
	"bytes"
	"log/slog"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	"redwingsill/core/directory"
	"redwingsill/core/holding"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/rcu"
	"redwingsill/core/record"
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
		value, err := registry.EncodeOwners(want, 1<<40, "w", 0)
		if err != nil {
			t.Fatal(err)
		}
		got, fence, err := registry.DecodeOwners(value)
		if err != nil || fence != 1<<40 || len(got.Holdings()) != len(want.Holdings()) {
			t.Errorf("%s: holdings %v, token %d and error %v", value, got.Holdings(), fence, err)
		}
	}
}

// recordOf returns the record of a key with a value.
func recordOf(key, value string, revision int64) record.Record {
	return record.Record{Key: key, Value: []byte(value), Revision: revision}
}

func TestAHostThatCannotBeReachedIsNotListed(t *testing.T) {
	hosts := rcu.New(directory.Directory{})
	var logs bytes.Buffer
	r := registry.New(hosts, func() {}, slog.New(slog.NewTextHandler(&logs, nil)))
	sound := `{"Address":"10.0.0.1:7000","DataCentre":"ilo","Capacity":0.5}`
	r.Apply([]record.Record{recordOf(registry.HostKey("a"), sound, 1)}, 1, true)
	r.Apply([]record.Record{recordOf(registry.HostKey(""), sound, 1)}, 1, false)
	for i, value := range []string{
		"", "null", "{}", "[]", "{", `{"Address":"","DataCentre":"ilo","Capacity":1}`,
		`{"Address":"10.0.0.1:0","DataCentre":"ilo","Capacity":1}`,
		`{"Address":"10.0.0.1:65536","DataCentre":"ilo","Capacity":1}`,
		`{"Address":"0.0.0.0:7000","DataCentre":"ilo","Capacity":1}`,
		`{"Address":"224.0.0.1:7000","DataCentre":"ilo","Capacity":1}`,
		`{"Address":"10.0.0.1:7000","DataCentre":"","Capacity":1}`,
		`{"Address":"10.0.0.1:7000","DataCentre":"ilo","Capacity":1e300}`,
		`{"Address":"10.0.0.1:7000","DataCentre":"ilo","Capacity":1e400}`,
		`{"Address":"10.0.0.1:7000","DataCentre":"ilo","Capacity":-1}`,
		`{"Address":"10.0.0.1:7000","DataCentre":"ilo","Capacity":"1"}`,
		strings.Repeat("[", 1_000_000),
		`{"Address":"` + strings.Repeat("9", 1<<20) + `"}`,
	} {
		revision := int64(2 + i)
		r.Apply([]record.Record{recordOf(registry.HostKey("a"), value, revision), recordOf(registry.HostKey(strconv.Itoa(i)), value, revision)}, revision, false)
		if all := hosts.Read().All(); len(all) != 1 || all[0].Name != "a" || all[0].Address != netip.MustParseAddrPort("10.0.0.1:7000") || all[0].Capacity != 0.5 {
			t.Fatalf("%.100q: the hosts are %+v, want a as before", value, all)
		}
	}
	r.Apply([]record.Record{recordOf(registry.HostKey("b"), sound, 100), {Key: registry.HostKey("a"), Revision: 101, IsRemoved: true}}, 101, false)
	if all := hosts.Read().All(); len(all) != 1 || all[0].Name != "b" {
		t.Errorf("the hosts are %+v after a valid entry and a removal, want b", all)
	}
}

func TestAnUnreadableCoordinatorIsNoneAndKeepsItsRevision(t *testing.T) {
	hosts := rcu.New(directory.Directory{})
	r := registry.New(hosts, func() {}, slog.New(slog.DiscardHandler))
	sound, err := registry.EncodeCoordinator("h1", "w", 0)
	if err != nil {
		t.Fatal(err)
	}
	revision := int64(0)
	for _, value := range []string{"", "null", "{}", "[]", "{", `{"Name":5}`, `{"Name":"h1","Mark":[]}`, string(sound[:5]), strings.Repeat("[", 1_000_000)} {
		revision += 2
		r.Apply([]record.Record{recordOf(registry.CoordinatorKey, string(sound), revision-1)}, revision-1, false)
		if got := hosts.Read().Coordinator; got != "h1" {
			t.Fatalf("the coordinator is %q, want h1", got)
		}
		r.Apply([]record.Record{recordOf(registry.CoordinatorKey, value, revision)}, revision, false)
		if got := hosts.Read().Coordinator; got != "" || r.CoordinatorRevision() != revision || registry.WriteIDOf([]byte(value)) != "" {
			t.Errorf("%.50q: coordinator %q at revision %d, want none at %d", value, got, r.CoordinatorRevision(), revision)
		}
	}
}
