package coordination

import (
	"context"
	"errors"
	"time"

	"redwingsill/core/electorate"
	"redwingsill/core/era"
	"redwingsill/core/kind"
	"redwingsill/core/transaction"
	"redwingsill/io/registry"
)

// campaignDelay returns how long this host waits for higher-ranked hosts to campaign first, so that hosts do not
// campaign at the same time.
func (c *Coordination) campaignDelay() time.Duration {
	rank := c.directory.Read().Rank(registry.CoordinatorKey, c.hostName)
	if rank < lateCampaignRank {
		return time.Duration(rank) * campaignStagger
	}
	return lateCampaignRank*campaignStagger + time.Duration(rank-lateCampaignRank)*lateCampaignStagger
}

// campaign tries to make this host the coordinator. It writes the coordinator's key on condition that the key has the
// revision replacedRevision, or, if that is 0, that the key does not exist.
func (c *Coordination) campaign(now time.Time, replacedRevision int64) {
	c.tenure.isCampaigning = true
	c.vacantSince = now.Add(campaignRetryDelay)
	writeID := c.nextWriteID()
	c.startCall(func(ctx context.Context) func() {
		startedAt := c.now()
		leaseID, duration, err := c.store.CreateLease(ctx, c.timing.LeaseDuration)
		if err != nil {
			return func() { c.campaignFailed("lease", err) }
		}
		value, err := registry.EncodeCoordinator(c.hostName, writeID, era.Of(leaseID))
		if err != nil {
			return func() { c.campaignFailed("encode", err) }
		}
		revision, err := c.store.Commit(ctx, transaction.Transaction{}.WithExpected(registry.CoordinatorKey, replacedRevision).
			WithPut(registry.CoordinatorKey, value, leaseID))
		if err != nil && !kind.Is(err, kind.Conflict) {
			// The response may be lost although the write took effect; the key's write ID shows that.
			if r, readErr := c.store.Get(ctx, registry.CoordinatorKey); readErr == nil && registry.WriteIDOf(r.Value) == writeID && era.Of(r.Revision) == era.Of(leaseID) {
				revision, err = r.Revision, nil
			}
		}
		if err != nil {
			if endErr := c.store.RevokeLease(ctx, leaseID); endErr != nil {
				c.log.Debug("unused lease not revoked", "Error", endErr) // it expires by itself
			}
			return func() { c.campaignFailed("commit", err) }
		}
		return func() {
			if era.Of(revision) != c.store.Era() {
				c.campaignFailed("commit", errors.New("the store has come back from an older copy since"))
				return
			}
			c.updateEra(c.now())
			c.startTenure(leaseID, revision, startedAt, duration)
		}
	})
}

// campaignFailed ends a failed campaign. call names the step of the campaign that failed.
func (c *Coordination) campaignFailed(call string, err error) {
	c.tenure.isCampaigning = false
	c.log.Info("not elected", "Call", call, "Error", err)
	if c.era > 0 && kind.Is(err, kind.Conflict) {
		c.checkCoordinator(c.now()) // the key in the copy may not be known yet
	}
}

// startTenure makes this host the coordinator, and resumes the ownership of services that it still has loaded. The
// lease has the duration that the store granted, counted from startedAt, before the call that created it. No more than
// LeaseDuration counts, since the next coordinator reckons with that.
func (c *Coordination) startTenure(leaseID, revision int64, startedAt time.Time, duration time.Duration) {
	previous := c.tenure.revision
	c.tenure = tenure{isCoordinator: true, leaseID: leaseID, revision: revision, leaseEnd: startedAt.Add(min(duration, c.timing.LeaseDuration)), renewedAt: startedAt,
		electedAt: c.now(), electorate: electorate.New(revision)}
	c.log.Info("elected", "Revision", revision, "Previous", previous)
	c.loadElectorate()
	for name, service := range c.services {
		if !service.isLoaded {
			delete(c.services, name)
			continue
		}
		if service.state.IsMapLost() {
			c.rewriteOwnership(name, service)
			continue
		}
		c.resumeOwnership(name, service)
	}
}
