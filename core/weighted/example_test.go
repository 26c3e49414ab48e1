package weighted_test

import (
	"fmt"

	"redwingsill/core/destination"
	"redwingsill/core/weighted"
)

// A service with three quarters of the weight gets three of four requests.
func ExampleRoundRobin_Next() {
	rr := weighted.New([]destination.Destination{{Service: "new", Weight: 25}, {Service: "old", Weight: 75}}, 0.5)
	for range 4 {
		var service string
		service, rr = rr.Next()
		fmt.Print(service, " ")
	}
	// Output: old new old old
}
