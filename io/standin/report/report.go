// Package report holds the result of a load and judges it.
package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"redwingsill/io/standin/row"
	"redwingsill/io/standin/run"
)

// Report is the result of a load.
type Report struct {
	Rows []row.Row
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

const maxExamples = 5

// judgeOwners counts runs of one key that overlap on two servers.
func (r *Report) judgeOwners(runs []run.Run) {
	byKey := map[string][]run.Run{}
	for _, run := range runs {
		if run.Key != "" {
			byKey[run.Key] = append(byKey[run.Key], run)
		}
	}
	for key, list := range byKey {
		slices.SortFunc(list, func(a, b run.Run) int { return a.Began.Compare(b.Began) })
		for i := range list {
			for j := i + 1; j < len(list) && list[j].Began.Before(list[i].Ended); j++ {
				if list[i].Server != list[j].Server {
					r.KeysWithTwoOwners++
					r.example(fmt.Sprintf("key %s on %s (grant %s) and %s (grant %s)", key, list[i].Server, list[i].Grant,
						list[j].Server, list[j].Grant))
				}
			}
		}
	}
}

// judgeIDs counts ids that ran twice, and ids that ran though their callers were told otherwise.
func (r *Report) judgeIDs(runs []run.Run, told map[string]string) {
	byID := map[string]run.Run{}
	for _, run := range runs {
		if run.RequestID == "" {
			continue
		}
		if first, again := byID[run.RequestID]; again {
			r.RunTwice++
			r.example(fmt.Sprintf("id %s on %s (grant %s) and %s (grant %s)", run.RequestID, first.Server, first.Grant,
				run.Server, run.Grant))
		}
		byID[run.RequestID] = run
	}
	for id, outcome := range told {
		if run, ran := byID[id]; ran && outcome == "NotRun" {
			r.NotRunButRan++
			r.example(fmt.Sprintf("id %s was told NotRun but ran on %s", id, run.Server))
		}
	}
}

func (r *Report) example(text string) {
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, text)
	}
}

// WithRuns returns the report judged by what backend servers ran, and by the strongest outcome told for each request id.
func (r Report) WithRuns(runs []run.Run, told map[string]string) Report {
	r.Runs = len(runs)
	r.judgeOwners(runs)
	r.judgeIDs(runs, told)
	return r
}
