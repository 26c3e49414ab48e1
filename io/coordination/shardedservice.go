package coordination

import (
	"time"

	"redwingsill/core/command"
	"redwingsill/core/era"
	"redwingsill/core/instance"
	"redwingsill/core/ownership"
)

// shardedService is the coordinator's state of a service whose keys have owners.
type shardedService struct {
	// state is valid once isLoaded is set.
	state    ownership.Ownership
	isLoaded bool
	// isResuming is set while this host reads whether another one has written the owners since its last term.
	isResuming bool
	// isStoreReachableSinceKnown is set once the state has the time since which the store has been reachable without
	// interruption.
	isStoreReachableSinceKnown bool
	// revision is the last known revision of the owners' key. The next write is conditional on it.
	revision int64
	// writtenIn is the era of the store by which the tokens of the state are raised.
	writtenIn era.Era
	// members has the service's backend servers as of the last step.
	members []instance.Instance
	// completions has the results of the grants that have completed since the last step.
	completions []command.Completion
	// capacitiesAt is when the servers' capacities were last computed.
	capacitiesAt time.Time
}

// applyCompletions passes the results of the completed grants to the state.
func (s *shardedService) applyCompletions(now time.Time) {
	if len(s.completions) > 0 {
		s.state = s.state.WithGrantResults(s.completions, now)
		s.completions = nil
	}
}
