package task_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"redwingsill/io/task"
)

func TestGoroutinesMayStartWhileTheirGroupEnds(t *testing.T) {
	for range 500 {
		g, wait := task.New(context.Background())
		var running atomic.Int64
		var callers sync.WaitGroup
		for range 4 {
			callers.Go(func() {
				g.Go(func(context.Context) {
					running.Add(1)
					defer running.Add(-1)
				})
			})
		}
		wait()
		if n := running.Load(); n != 0 {
			t.Fatalf("%d goroutines run after the end of their group", n)
		}
		callers.Wait()
	}
}
