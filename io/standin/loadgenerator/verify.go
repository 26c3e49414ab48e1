package loadgenerator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"redwingsill/io/standin/report"
	"redwingsill/io/standin/row"
	"redwingsill/io/standin/run"
)

// Verify fetches the runs that the backend servers at the base URLs recorded, checks the outcomes against the runs, and
// returns the report of the load test. It returns an error if the runs of a server can't be fetched.
func (g *Generator) Verify(ctx context.Context, servers []string) (report.Report, error) {
	var runs []run.Run
	for _, base := range servers {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/admin/runs", nil)
		if err != nil {
			return report.Report{}, err
		}
		response, err := g.http.Do(r)
		if err != nil {
			return report.Report{}, fmt.Errorf("get the runs of %s: %w", base, err)
		}
		var recorded []run.Run
		err = json.NewDecoder(response.Body).Decode(&recorded)
		_ = response.Body.Close()
		if err != nil {
			return report.Report{}, fmt.Errorf("get the runs of %s: %w", base, err)
		}
		runs = append(runs, recorded...)
	}
	return report.Report{MismatchedAnswers: g.mismatched, Reasons: g.reasons, Rows: g.rows()}.WithRuns(runs, g.outcomes), nil
}

// rows returns one row for each stream, in the order of the streams.
func (g *Generator) rows() []row.Row {
	var rows []row.Row
	for i, s := range g.streams {
		t := g.tallies[i]
		percentile := func(percent float64) string {
			return (time.Duration(t.latencies.ValueAtQuantile(percent)) * time.Microsecond).Round(10 * time.Microsecond).String()
		}
		rows = append(rows, row.Row{Service: s.service, Rank: s.rank, Sent: t.sent, Answered: t.answered, NotRun: t.notRun,
			Unknown: t.unknown, Broken: t.broken, P50: percentile(50), P99: percentile(99), P999: percentile(99.9)})
	}
	return rows
}
