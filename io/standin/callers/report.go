package callers

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Report is the result of a load.
type Report struct {
	Rows []Row
	// KeysWithTwoOwners counts the pairs of runs of one key on two servers at the same time.
	KeysWithTwoOwners int
	// RunTwice counts the ids of work that must not repeat that ran more than once.
	RunTwice int
	// NotRunButRan counts the ids whose callers were told NotRun though they ran.
	NotRunButRan int
	// Mixed counts the answers that were not to the caller's own request.
	Mixed int
	Runs  int
	// Reasons counts the reasons given for outcomes other than Answered.
	Reasons  map[string]int
	Examples []string
}

// IsSound reports whether every invariant held.
func (r Report) IsSound() bool {
	return r.KeysWithTwoOwners == 0 && r.RunTwice == 0 && r.NotRunButRan == 0 && r.Mixed == 0
}

// Print writes the report as a table.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "service\trank\tsent\tanswered\tnot run\tunknown\tbroken\tp50\tp99\tp99.9\t")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", row.Service, row.Rank, row.Sent, row.Answered,
			row.NotRun, row.Unknown, row.Broken, row.P50, row.P99, row.P999)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "runs on backend servers = %d\nkeys with two owners = %d\nmust-not-repeat run twice = %d\n"+
		"told not run but ran = %d\nanswers to another's request = %d\n",
		r.Runs, r.KeysWithTwoOwners, r.RunTwice, r.NotRunButRan, r.Mixed)
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		_, _ = fmt.Fprintf(w, "%6d  %s\n", r.Reasons[reason], reason)
	}
	for _, example := range r.Examples {
		_, _ = fmt.Fprintln(w, "  "+example)
	}
	return err
}
