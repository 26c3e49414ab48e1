package weighted_test

import (
	"fmt"

	"redwingsill/core/destination"
	"redwingsill/core/weighted"
)

// Three of four requests go to the heavier service.
func ExampleTurn_Next() {
	turn := weighted.New([]destination.Destination{{Service: "new", Weight: 25}, {Service: "old", Weight: 75}}, 0.5)
	for range 4 {
		var service string
		service, turn = turn.Next()
		fmt.Print(service, " ")
	}
	// Output: old new old old
}
