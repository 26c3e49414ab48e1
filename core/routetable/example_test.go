package routetable_test

import (
	"fmt"

	"redwingsill/core/routetable"
	"redwingsill/core/rule"
)

// The rule with the longest matching prefix wins.
func ExampleTable_Find() {
	t := routetable.New(rule.Rule{Name: "all", Host: "a.example", Prefix: "/"}, rule.Rule{Name: "orders", Host: "a.example", Prefix: "/orders/"})
	found, _ := t.Find("a.example", "/orders/7")
	fmt.Println(found.Name)
	// Output: orders
}
