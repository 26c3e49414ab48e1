package relay

import "time"

// rankingPrefix followed by the name of a data centre is the subject for which the hosts of that data centre are
// ranked, in the same order on every host. The top-ranked ones read the store for the others, as relaying hosts.
const rankingPrefix = "news/"

const (
	// maxRelayingHosts is how many hosts of a data centre are asked, in the order of their rank, before a host reads the
	// store itself.
	maxRelayingHosts = 2
	// relayingDuration is how long after the last request of another host a host stays a relaying host: long enough for
	// several requests.
	relayingDuration = 3 * time.Second
	// changesWait is how long a relaying host holds its response while there are no changes. It bounds the time until a
	// host that does not respond is noticed.
	changesWait = 400 * time.Millisecond
	// awaitFreshTimeout bounds how long a relaying host that is asked waits until its copy of the entries is fresh: a few
	// response times of the store. It is less than the time after which the requesting host gives up.
	awaitFreshTimeout = 200 * time.Millisecond
	// confirmationWait is the wait of a host's first watch of the store after a failure, or after a time in which other
	// hosts relayed the entries to it. That watch only confirms that the store responds.
	confirmationWait = time.Millisecond
	// listFreshFor is how long a list counts as fresh, beyond the batch delay: the time for which changes are batched
	// before the store is read again. The watch that follows the list takes less time and confirms the entries again.
	listFreshFor = 2 * time.Second
	// retryInterval is about the average time after several failed calls in a row to the store until a host that is
	// neither a relaying nor the top-ranked host calls it again, if no relaying host can be asked. The first retries
	// follow sooner, since a single watch may fail although the store is reachable.
	retryInterval = 2500 * time.Millisecond
	// relayingRetryInterval is the shortest time after a failed call to the store until a relaying or the top-ranked host
	// calls it again.
	relayingRetryInterval = 400 * time.Millisecond
	// freshMargin is how long, beyond the wait of a watch and the batch delay, the store's response to the watch counts as
	// fresh. Older entries are not relayed, since a change must be known within 2 s, including the time to find another
	// relaying host.
	freshMargin = 400 * time.Millisecond
	// unavailableRetryInterval is the time after which a host that answered that it has no fresh entries is asked again:
	// all hosts should receive changes within 1 s after the store recovers.
	unavailableRetryInterval = 300 * time.Millisecond
	// minBackoff and maxBackoff bound the time for which a host that failed is not asked. It doubles with each failure in
	// a row.
	minBackoff = 1500 * time.Millisecond
	maxBackoff = 6 * time.Second
	// maxDoublings bounds how often a delay is doubled, so that it does not overflow.
	maxDoublings = 8
)
