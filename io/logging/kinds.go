package logging

import (
	"sync"
	"time"
)

// kinds is the kinds of lines that were logged so far: as many as there are messages in the code.
type kinds struct {
	now func() time.Time
	all sync.Map
}

func newKinds(now func() time.Time) *kinds { return &kinds{now: now} }

func (k *kinds) of(message string) *kind {
	if found, ok := k.all.Load(message); ok {
		return found.(*kind)
	}
	found, _ := k.all.LoadOrStore(message, &kind{})
	return found.(*kind)
}

// unreported returns, by kind, the lines that were left out since the last call.
func (k *kinds) unreported() map[string]int64 {
	lines := map[string]int64{}
	k.all.Range(func(message, value any) bool {
		if n := value.(*kind).report(); n > 0 {
			lines[message.(string)] = n
		}
		return true
	})
	return lines
}

// leftOut returns how many lines were left out in all.
func (k *kinds) leftOut() int64 {
	sum := int64(0)
	k.all.Range(func(_, value any) bool {
		sum += value.(*kind).left.Load()
		return true
	})
	return sum
}
