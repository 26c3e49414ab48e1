package relay

import "time"

// rankingPrefix followed by a data centre is the subject by which the hosts of that data centre are ranked as relaying
// hosts.
const rankingPrefix = "news/"

const (
	// relayingHosts is how many hosts of a data centre are asked before a host reads the store itself.
	relayingHosts = 2
	// relayingDuration is how long after the last request of another host a host stays a relaying host: long enough for
	// several requests.
	relayingDuration = 3 * time.Second
	// changesWait is how long a relaying host holds its response while there are no changes. It bounds the time until a
	// host that does not respond is noticed.
	changesWait = 400 * time.Millisecond
	// freshTimeout bounds how long a relaying host waits until it has read the store for a response: a few response times
	// of the store. It is less than the time after which the requesting host gives up.
	freshTimeout = 200 * time.Millisecond
	// confirmationWait is the wait of the first watch after other hosts relayed the entries: it only confirms that the
	// store responds.
	confirmationWait = time.Millisecond
	// listFreshFor is how long a list counts as fresh; the watch that follows it renews the freshness by then.
	listFreshFor = 2 * time.Second
	// retryInterval is the average time between two attempts to call the store on a host that is not a relaying host,
	// while the calls of all hosts fail. The first attempts follow sooner, as on a relaying host, since a single watch may
	// fail by itself.
	retryInterval = 2500 * time.Millisecond
	// relayingRetryInterval is the shortest time between two attempts to call the store on a relaying host.
	relayingRetryInterval = 400 * time.Millisecond
	// freshMargin is how long, beyond the wait of a watch and the batch delay, the store's response to the watch counts as
	// fresh. Older entries are not relayed: with the time to find another relaying host, changes must be known within 2 s.
	freshMargin = 400 * time.Millisecond
	// unavailableRetryInterval is the time after which a host that answered that it has no fresh entries is asked again:
	// changes should be known on all hosts within 1 s of the store's return.
	unavailableRetryInterval = 300 * time.Millisecond
	// minBackoff and maxBackoff bound the time in which a host that failed is not asked. It doubles with each failure in a
	// row.
	minBackoff = 1500 * time.Millisecond
	maxBackoff = 6 * time.Second
)
