package configuration_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/configuration"
	"redwingsill/core/duration"
	"redwingsill/core/resource"
)

var _ = Describe("a diff", func() {
	It("names the fields of changed resources as resource files do", func() {
		old := resource.Service{Name: "inventario", DividedByKey: true, Slots: 16, MaxBodyBytes: 1024, MaxAttempt: duration.Of(time.Second)}
		next := old
		next.Slots = 32
		server := resource.BackendServer{Name: "inventario-1", Service: "inventario", Slots: 2}
		moreSlots := server
		moreSlots.Slots = 4
		diff := configuration.Configuration{}.With(old).With(server).Diff(configuration.Configuration{}.With(next).With(moreSlots))
		Expect(diff).To(ConsistOf(
			"~ Service/inventario: {Name:inventario DividedByKey:true Slots:16 MaxBodyBytes:1024 MaxAttempt:1s} -> "+
				"{Name:inventario DividedByKey:true Slots:32 MaxBodyBytes:1024 MaxAttempt:1s}",
			"~ BackendServer/inventario-1: {Name:inventario-1 Service:inventario DataCentre: Address: Slots:2 Connections:0 ChecksGrants:false} -> "+
				"{Name:inventario-1 Service:inventario DataCentre: Address: Slots:4 Connections:0 ChecksGrants:false}"))
	})
})
