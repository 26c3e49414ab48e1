package configuration_test

import (
	"errors"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/configuration"
	"redwingsill/core/example"
	"redwingsill/core/resource"
)

func TestConfiguration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Configuration")
}

func FuzzParseResources(f *testing.F) {
	f.Add([]byte("Resources:\n- Kind: Rank\n  Name: a\n"))
	f.Add([]byte(`{"Resources":[{"Kind":"Service"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		all, err := configuration.ParseResources(text)
		if err != nil {
			return
		}
		again, err := configuration.FormatResources(all)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := configuration.ParseResources(again); err != nil {
			t.Errorf("formatted resources do not parse: %v", err)
		}
		_ = configuration.Configuration{}.With(resource.Rank{Name: "a"}).Check()
	})
}

var _ = Describe("a configuration file", func() {
	DescribeTable("of the examples is valid", func(path string, servers, hosts int) {
		text, err := os.ReadFile("../../examples/" + path)
		Expect(err).NotTo(HaveOccurred())
		all, err := configuration.ParseResources(text)
		Expect(err).NotTo(HaveOccurred())
		c := configuration.Configuration{}
		for _, r := range all {
			c = c.With(r)
		}
		Expect(c.WithHomes().Check()).To(Succeed())
		Expect(c.BackendServers).To(HaveLen(servers))
		n := 0
		for _, centre := range c.DataCentres {
			n += len(centre.EntryHosts)
		}
		Expect(n).To(Equal(hosts))
	},
		Entry("costa-sur", "costa-sur.yaml", 33, 11),
		Entry("addis", "addis.yaml", 30, 10),
	)

	DescribeTable("with invalid fields is rejected with the path of each", func(text string, paths ...string) {
		c := example.Size{Hosts: 3, Servers: 2, ServerSlots: 2, HashSlots: 8}.Configuration()
		all, err := configuration.ParseResources([]byte(text))
		for _, r := range all {
			c = c.With(r)
		}
		if err == nil {
			err = c.Check()
		}
		var wrong *configuration.Error
		Expect(errors.As(err, &wrong)).To(BeTrue())
		var found []string
		for _, p := range wrong.Problems {
			found = append(found, p.Path)
			Expect(p.Allowed).NotTo(BeEmpty())
		}
		Expect(found).To(Equal(paths))
	},
		Entry("text that is not YAML", "a: [", "file"),
		Entry("an unknown field at the top", "Things: []", "file"),
		Entry("an unknown kind", "Resources: [{Kind: Thing}]", "Resources[0]"),
		Entry("an unknown field", "Resources: [{Kind: Rank, Name: a, Speed: 1}]", "Resources[0]"),
		Entry("a duration without a unit", "Resources: [{Kind: Rank, Name: a, Target: 5}]", "Resources[0]"),
		Entry("two invalid objects", "Resources: [{Kind: A}, {Kind: B}]", "Resources[0]", "Resources[1]"),
		Entry("many invalid fields", "Resources: [{Kind: BackendServer, Name: X, Service: none, DataCentre: none, Address: host, Slots: 0}]",
			"BackendServer/X.Name", "BackendServer/X.Service", "BackendServer/X.DataCentre", "BackendServer/X.Address",
			"BackendServer/X.Slots"),
		Entry("a rank with the urgency of another", "Resources: [{Kind: Rank, Name: b, Urgency: 0, Target: 1s, QueueLimit: 1}]",
			"Rank/dispatch.Urgency"),
		Entry("floors whose sum is more than 1", "Resources: [{Kind: Rank, Name: b, Urgency: 9, Floor: 0.9, Target: 1s, QueueLimit: 1}]",
			"Rank/*.Floor"),
		Entry("two default ranks", "Resources: [{Kind: Rank, Name: b, Urgency: 9, Default: true, Target: 1s, QueueLimit: 1}]",
			"Rank/*.Default"),
		Entry("an entry host named twice", "Resources: [{Kind: DataCentre, Name: ilo, EntryHosts: [a, a]}]",
			"DataCentre/ilo.EntryHosts[1]"),
	)

	It("is rejected if a data centre that is home to hash slots has no server left", func() {
		c := example.Size{Hosts: 3, Servers: 1, ServerSlots: 2, HashSlots: 8}.Configuration()
		err := c.Without(resource.BackendServer{Name: "inventario-1"}).Check()
		Expect(err).To(MatchError(ContainSubstring("no backend server in ilo")))
	})
})

var _ = Describe("homes", func() {
	It("stay the same when servers are added", func() {
		c := example.Size{Hosts: 3, Servers: 2, ServerSlots: 2, HashSlots: 64}.Configuration()
		more := c.With(resource.DataCentre{Name: "camana", EntryHosts: []string{"camana-1"}}).
			With(resource.BackendServer{Name: "inventario-9", Service: example.Service, DataCentre: "camana"}).WithHomes()
		Expect(more.Homes).To(Equal(c.Homes))
	})
})
