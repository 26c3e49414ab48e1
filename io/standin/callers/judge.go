package callers

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

// Judge returns the report of the load, by what the backend servers at base URLs recorded. A server that does not
// answer is an error.
func (c *Callers) Judge(ctx context.Context, servers []string) (report.Report, error) {
	var runs []run.Run
	for _, base := range servers {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/admin/runs", nil)
		if err != nil {
			return report.Report{}, err
		}
		response, err := c.http.Do(r)
		if err != nil {
			return report.Report{}, fmt.Errorf("runs of %s: %w", base, err)
		}
		var some []run.Run
		err = json.NewDecoder(response.Body).Decode(&some)
		_ = response.Body.Close()
		if err != nil {
			return report.Report{}, fmt.Errorf("runs of %s: %w", base, err)
		}
		runs = append(runs, some...)
	}
	return report.Report{Mixed: c.mixed, Reasons: c.reasons, Rows: c.rows()}.WithRuns(runs, c.told), nil
}

func (c *Callers) rows() []row.Row {
	var rows []row.Row
	for i, s := range c.streams {
		t := c.tallies[i]
		quantile := func(q float64) string {
			return (time.Duration(t.latencies.ValueAtQuantile(q)) * time.Microsecond).Round(10 * time.Microsecond).String()
		}
		rows = append(rows, row.Row{Service: s.service, Rank: s.rank, Sent: t.sent, Answered: t.answered, NotRun: t.notRun,
			Unknown: t.unknown, Broken: t.broken, P50: quantile(50), P99: quantile(99), P999: quantile(99.9)})
	}
	return rows
}
