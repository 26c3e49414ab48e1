package rcu_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"redwingsill/core/rcu"
)

// A change that takes long is overtaken by short ones again and again. It must get its turn all the same: a coordinator that waits to put
// new owners into a pool, which thousands of slot requests a second change, loses its lease meanwhile.
func TestLongChangeIsNotStarved(t *testing.T) {
	v := rcu.New(0)
	var isOver atomic.Bool
	var group sync.WaitGroup
	var short atomic.Int64
	for range 4 {
		group.Go(func() {
			for !isOver.Load() {
				v.Update(func(n int) int { return n + 1 })
				short.Add(1)
			}
		})
	}
	for short.Load() < 100 {
		time.Sleep(time.Millisecond)
	}
	ended := make(chan struct{})
	const long = 20
	go func() {
		defer close(ended)
		for range long {
			v.Update(func(n int) int {
				time.Sleep(5 * time.Millisecond)
				return n + 1
			})
		}
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("20 changes of 5 ms did not end within 5 s")
	}
	isOver.Store(true)
	group.Wait()
	<-ended
	if got, want := v.Load(), int(short.Load())+long; got != want {
		t.Errorf("the value is %d after %d changes", got, want)
	}
}
