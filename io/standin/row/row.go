// Package row holds the result of one stream of a load.
package row

// Row is the result of one stream.
type Row struct {
	Service  string
	Rank     string
	Sent     int
	Answered int
	NotRun   int
	Unknown  int
	// Broken counts connections that failed before any answer, as when an entry host is killed.
	Broken int
	P50    string
	P99    string
	P999   string
}
