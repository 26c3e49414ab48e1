// Command second plays the scripts of the second review: each case starts the real program as processes beside stand-ins on loopback,
// and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// A play returns whether the rule was broken. With hasTrouble unset it leaves the disruption out.
type play func(d *deployment, hasTrouble bool) (isBroken bool, err error)

var plays = map[string]play{"slow-reader": slowReader, "old-config": oldConfig, "broken-promise": brokenPromise, "lost-seal": lostSeal}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		return 2
	}
	hasTrouble := os.Getenv("TROUBLE") != "0"
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r.add("case %s, with the disruption: %v", os.Args[1], hasTrouble)
	d, err := newDeployment(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.stop()
	isBroken, err := plays[os.Args[1]](d, hasTrouble)
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case isBroken:
		r.add("the rule was broken")
		fmt.Println("broken")
		return 1
	}
	r.add("the rule held")
	fmt.Println("held")
	return 0
}
