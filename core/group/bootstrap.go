package group

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingsill/core/effect"
	"redwingsill/core/platformkey"
)

// bootstrap requests the list of hosts and the configuration from the platform while there is no leader to send them. It
// reads the configuration only until one that declares the data centre is known.
func (g Group) bootstrap(now time.Time) (Group, []effect.Effect) {
	var effects []effect.Effect
	isLeaderless := now.Sub(g.member.HeartbeatAt()) > g.timing.SilenceTimeout
	if !isLeaderless {
		g.bootstrapAttempts = 0
		return g, nil
	}
	if now.Before(g.nextBootstrapAt) {
		return g, nil
	}
	g.nextBootstrapAt = now.Add(g.bootstrapDelay())
	g.bootstrapAttempts++
	if len(g.Hosts()) == 0 || g.bootstrapAttempts%attemptsPerHostList == 0 {
		effects = append(effects, effect.ListHosts{})
	}
	_, declared := g.member.Configuration().DataCentres[g.dataCentre]
	if !declared {
		g.callID--
		effects = append(effects, effect.ReadKey{ID: g.callID, Key: string(platformkey.Configuration), AfterRevision: -1})
	}
	return g, effects
}

// bootstrapDelay returns the time until the next bootstrap attempt. It doubles up to a bound and differs by up to half
// from host to host, so that many hosts that start together do not call the platform together.
func (g Group) bootstrapDelay() time.Duration {
	longest := min(g.timing.HeartbeatInterval<<min(g.bootstrapAttempts, maxDelayDoublings), maxBootstrapDelay)
	permille := xxhash.Sum64String(g.name+strconv.Itoa(g.bootstrapAttempts)) % 1000
	return longest/2 + longest/2*time.Duration(permille)/1000
}
