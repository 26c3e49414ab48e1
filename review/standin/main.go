// Command standin plays one case of the review: it starts entry hosts as processes beside stand-ins of the platform's
// store, of backend servers and of callers, and checks one rule of the pages by what these have seen.
//
// Usage: standin CASE RECORD. The exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
// With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"os"
)

const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// cases has, by name, the function that plays a case and reports whether its rule held.
var cases = map[string]func(r *record, hasTrouble bool) (bool, error){
	"hidden-grant": playHiddenGrant,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return statusNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return statusNotRun
	}
	defer r.close()
	hasHeld, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.writef("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		return statusNotRun
	case !hasHeld:
		r.writef("result: the rule was broken")
		return statusBroken
	}
	r.writef("result: the rule held")
	return statusHeld
}
