package updates

import "time"

const (
	// Path is where news is asked for.
	Path = "/news"

	prefixField = "Prefix"
	afterField  = "After"
	waitField   = "Wait"
	// mostWait bounds how long an answer is held back.
	mostWait = 5 * time.Second
	// dialTimeout and answerMargin bound how long a silent host is waited for: news must be in force within two seconds,
	// and others have to be asked then.
	dialTimeout  = 300 * time.Millisecond
	answerMargin = 300 * time.Millisecond
	// listTimeout bounds the reading of all entries, perhaps some hundred kilobytes over a narrow link.
	listTimeout = 2 * time.Second
	// maxAnswer bounds an answer, in bytes.
	maxAnswer = 32 << 20
	// compressFrom is the size in bytes from which answers are compressed: a configuration shrinks to a tenth, and hosts
	// may have narrow links.
	compressFrom = 8 << 10
	// idleConnections bounds the connections to one host that are kept: one for each prefix that is followed.
	idleConnections = 4
)
