package relay

import (
	"context"
	"errors"
	"time"

	"redwingsill/core/kind"
	"redwingsill/core/update"
)

// Entries implements updates.Source.
func (r *Relay) Entries(ctx context.Context, prefix string) (update.Update, error) {
	r.asked()
	c, err := r.fresh(ctx, prefix)
	if err != nil {
		return update.Update{}, err
	}
	return update.Update{Records: c.feed.All(), Revision: c.feed.Revision(), Age: r.now().Sub(c.readAt)}, nil
}

// Changes implements updates.Source.
func (r *Relay) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (update.Update, error) {
	r.asked()
	c, err := r.fresh(ctx, prefix)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for isOver := false; err == nil; c, err = r.fresh(ctx, prefix) {
		changes, ok := c.feed.ChangesAfter(after)
		switch {
		case !ok:
			return update.Update{}, newError("tell news", kind.NotFound, errors.New("the changes asked for are forgotten"))
		case len(changes) > 0 || isOver:
			return update.Update{Records: changes, Revision: c.feed.Revision(), Age: r.now().Sub(c.readAt)}, nil
		}
		stale := time.NewTimer(c.readAt.Add(c.lasts).Sub(r.now()))
		select {
		case <-c.changed:
		case <-stale.C:
		case <-timer.C:
			isOver = true
		case <-ctx.Done():
			err = newError("tell news", kind.Unavailable, ctx.Err())
		}
		stale.Stop()
		if ctx.Err() != nil {
			return update.Update{}, err
		}
	}
	return update.Update{}, err
}

// asked notes that another host relies on this one.
func (r *Relay) asked() {
	wasAsked := r.isAsked()
	r.askedAt.Store(int64(r.now().Sub(r.base)))
	if wasAsked {
		return
	}
	r.log.Info("reads the store for others")
	before := r.turn.Load()
	r.turn.Store(newTurn())
	before.end()
}

// fresh returns the copy of a prefix once the store itself has answered this host lately.
func (r *Relay) fresh(ctx context.Context, prefix string) (copied, error) {
	timer := time.NewTimer(turnWait)
	defer timer.Stop()
	shared, ok := r.copies[prefix]
	if !ok {
		return copied{}, newError("tell news", kind.Invalid, errors.New("nothing is known under "+prefix))
	}
	for {
		c := shared.Load()
		now := r.now()
		if c.isFresh(now) {
			return c, nil
		}
		if c.hasFailed(now) {
			return copied{}, newError("tell news", kind.Unavailable, errors.New("the store fails this host"))
		}
		select {
		case <-c.changed:
		case <-timer.C:
			return copied{}, newError("tell news", kind.Unavailable, errors.New("the store has not answered this host lately"))
		case <-ctx.Done():
			return copied{}, newError("tell news", kind.Unavailable, ctx.Err())
		}
	}
}
