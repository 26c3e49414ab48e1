// Package row defines the rows of the load test report.
package row

// Row is the result of one request stream.
type Row struct {
	Service  string
	Rank     string
	Sent     int
	Answered int
	NotRun   int
	Unknown  int
	// Broken counts requests without a valid outcome, such as those whose connection failed when an entry host was killed.
	Broken int
	// P50, P99 and P999 are latency percentiles of answered requests, in Go's duration format.
	P50  string
	P99  string
	P999 string
}
