package relay

import "time"

// subject is the order in which the hosts of a data centre read the store for the others.
const subject = "news/"

const (
	// readers is how many hosts of a data centre are asked before a host reads the store itself.
	readers = 2
	// askedFor is how long after another host's question a host goes on reading the store: some of its questions.
	askedFor = 3 * time.Second
	// peerWait is how long a host is asked to hold its answer back while there is no news. A silent one is noticed after it.
	peerWait = 400 * time.Millisecond
	// turnWait is how long an answer may take where the host has to begin to read the store for it: some of the store's
	// answers. It is less than what the other host waits for at all.
	turnWait = 200 * time.Millisecond
	// confirmWait is how long the first watch waits after other hosts were asked: it is to confirm that the store answers.
	confirmWait = time.Millisecond
	// listLasts is how long a list counts as fresh: the watch that follows it tells more by then.
	listLasts = 2 * time.Second
	// ownPause is the average time between two tries of a host that others do not rely on, while the store fails everyone. The
	// first tries come sooner, as those of a reader: a watch may fail that was alone.
	ownPause = 2500 * time.Millisecond
	// readerPause is the least time between two tries of a host that others rely on.
	readerPause = 400 * time.Millisecond
	// freshMargin is how much longer than the wait of a watch the store's last answer may be ago. What is older is not told:
	// with the time to find another reader, changes must be known within two seconds.
	freshMargin = 400 * time.Millisecond
	// toldPause is the average time after which a host is asked again that said that it does not know: news should be known
	// everywhere within a second of the store's return.
	toldPause = 300 * time.Millisecond
	// avoidFirst and avoidMost bound how long a host is left alone that did not answer; it doubles with each failure in a
	// row.
	avoidFirst = 1500 * time.Millisecond
	avoidMost  = 6 * time.Second
)
