package callers

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"redwingsill/io/standin/server"
)

const maxExamples = 5

// Judge returns the report of the load, by what the backend servers at base URLs recorded. A server that does not
// answer is an error.
func (c *Callers) Judge(ctx context.Context, servers []string) (Report, error) {
	var runs []server.Run
	for _, base := range servers {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/admin/runs", nil)
		if err != nil {
			return Report{}, err
		}
		response, err := c.http.Do(r)
		if err != nil {
			return Report{}, fmt.Errorf("runs of %s: %w", base, err)
		}
		var some []server.Run
		err = json.NewDecoder(response.Body).Decode(&some)
		_ = response.Body.Close()
		if err != nil {
			return Report{}, fmt.Errorf("runs of %s: %w", base, err)
		}
		runs = append(runs, some...)
	}
	report := Report{Runs: len(runs), Mixed: c.mixed, Reasons: c.reasons, Rows: c.rows()}
	report.judgeOwners(runs)
	report.judgeIDs(runs, c.told)
	return report, nil
}

func (c *Callers) rows() []Row {
	var rows []Row
	for i, s := range c.streams {
		t := c.tallies[i]
		quantile := func(q float64) string {
			return (time.Duration(t.latencies.ValueAtQuantile(q)) * time.Microsecond).Round(10 * time.Microsecond).String()
		}
		rows = append(rows, Row{Service: s.service, Rank: s.rank, Sent: t.sent, Answered: t.answered, NotRun: t.notRun,
			Unknown: t.unknown, Broken: t.broken, P50: quantile(50), P99: quantile(99), P999: quantile(99.9)})
	}
	return rows
}

// judgeOwners counts runs of one key that overlap on two servers.
func (r *Report) judgeOwners(runs []server.Run) {
	byKey := map[string][]server.Run{}
	for _, run := range runs {
		if run.Key != "" {
			byKey[run.Key] = append(byKey[run.Key], run)
		}
	}
	for key, list := range byKey {
		slices.SortFunc(list, func(a, b server.Run) int { return a.Began.Compare(b.Began) })
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
func (r *Report) judgeIDs(runs []server.Run, told map[string]string) {
	byID := map[string]server.Run{}
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
