package coordination

import (
	"context"

	"redwingsill/core/command"
	"redwingsill/core/era"
	"redwingsill/core/kind"
	"redwingsill/core/transaction"
	"redwingsill/io/registry"
	"redwingsill/io/task"
)

// write writes a key, and retries until it is known whether the write took effect. It returns the result, and the key's new
// revision if that is Done. It is Lost only if the context has ended.
func (c *Coordination) write(ctx context.Context, key, writeID string, t transaction.Transaction) (command.Result, int64) {
	for ctx.Err() == nil {
		if result, revision := c.tryWrite(ctx, key, writeID, t); result != command.Lost {
			return result, revision
		}
		task.Sleep(ctx, saveRetryDelay)
	}
	return command.Lost, 0
}

// tryWrite writes a key once. It returns the result and, if that is Done, the new revision of the key. If the write
// conflicts, it compares the stored write ID with its own, since an earlier attempt whose response was lost may have taken
// effect.
func (c *Coordination) tryWrite(ctx context.Context, key, writeID string, t transaction.Transaction) (command.Result, int64) {
	revision, err := c.store.Commit(ctx, t)
	switch {
	case err == nil:
		return command.Done, revision
	case !kind.Is(err, kind.Conflict):
		return command.Lost, 0
	}
	r, err := c.store.Get(ctx, key)
	switch {
	case err != nil:
		return command.Lost, 0
	case registry.WriteIDOf(r.Value) == writeID:
		if era.Of(r.Revision) != expectedEra(t) {
			return command.Stale, 0 // written in another era than that of the conditions, or read from a copy: it may be lost, or undo a later write
		}
		return command.Done, r.Revision
	}
	return command.Stale, 0
}

// expectedEra returns the era of the conditions of a transaction, which has at least one.
func expectedEra(t transaction.Transaction) era.Era {
	newest := int64(0)
	for _, revision := range t.Expected {
		newest = max(newest, revision)
	}
	return era.Of(newest)
}
