// Package report holds the results of a load test and counts the violations of the invariants of request routing.
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

// Report is the result of a load test.
type Report struct {
	Rows []row.Row
	// KeysWithTwoOwners counts the pairs of runs of one key that overlapped in time on two servers.
	KeysWithTwoOwners int
	// RunTwice counts the repeated runs of request IDs. Each ID must run at most once.
	RunTwice int
	// NotRunButRan counts the request IDs that ran although the reported outcome was NotRun.
	NotRunButRan int
	// MismatchedAnswers counts the responses whose key or request ID is not that of their request, or that can't be
	// parsed.
	MismatchedAnswers int `json:"Mixed"`
	// Runs counts the runs on backend servers.
	Runs int
	// Reasons counts the outcomes other than Answered by outcome and reason. Names, units and addresses in the reasons
	// are replaced by "…".
	Reasons map[string]int
	// Examples describes the first maxExamples violations.
	Examples []string
}

// HasNoViolations reports whether all invariants hold.
func (r Report) HasNoViolations() bool {
	return r.KeysWithTwoOwners == 0 && r.RunTwice == 0 && r.NotRunButRan == 0 && r.MismatchedAnswers == 0
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
		r.Runs, r.KeysWithTwoOwners, r.RunTwice, r.NotRunButRan, r.MismatchedAnswers)
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		_, _ = fmt.Fprintf(w, "%6d  %s\n", r.Reasons[reason], reason)
	}
	for _, example := range r.Examples {
		_, _ = fmt.Fprintln(w, "  "+example)
	}
	return err
}

// maxExamples is the maximum number of violations that a report describes.
const maxExamples = 5

// checkOwners counts the pairs of runs of one key that overlap on two servers. It finds no overlap of a run that has
// not ended with a run that began later.
func (r *Report) checkOwners(runs []run.Run) {
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
					r.addExample(fmt.Sprintf("key %s on %s (grant %s) and %s (grant %s)", key, list[i].Server, list[i].Grant,
						list[j].Server, list[j].Grant))
				}
			}
		}
	}
}

// checkRequestIDs counts repeated runs of a request ID, and IDs that ran although the reported outcome was NotRun.
func (r *Report) checkRequestIDs(runs []run.Run, outcomes map[string]string) {
	byID := map[string]run.Run{}
	for _, run := range runs {
		if run.RequestID == "" {
			continue
		}
		if previous, isRepeated := byID[run.RequestID]; isRepeated {
			r.RunTwice++
			r.addExample(fmt.Sprintf("id %s on %s (grant %s) and %s (grant %s)", run.RequestID, previous.Server, previous.Grant,
				run.Server, run.Grant))
		}
		byID[run.RequestID] = run
	}
	for id, outcome := range outcomes {
		if run, ran := byID[id]; ran && outcome == "NotRun" {
			r.NotRunButRan++
			r.addExample(fmt.Sprintf("id %s was told NotRun but ran on %s", id, run.Server))
		}
	}
}

func (r *Report) addExample(text string) {
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, text)
	}
}

// WithRuns returns the report with the number of runs on the backend servers and the violations found in the runs. The
// outcomes are by request ID; an ID that was sent more than once has the outcome NotRun only if all of its requests had
// it.
func (r Report) WithRuns(runs []run.Run, outcomes map[string]string) Report {
	r.Runs = len(runs)
	r.checkOwners(runs)
	r.checkRequestIDs(runs, outcomes)
	return r
}
