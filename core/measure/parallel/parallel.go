// Package parallel runs independent measurements concurrently.
package parallel

import "runtime"

// Map calls all functions and returns their results in order. It uses one goroutine fewer than there are processors, and
// at least one.
func Map[T any](functions []func() T) []T {
	results := make([]T, len(functions))
	next := make(chan int)
	done := make(chan struct{})
	workers := max(1, runtime.NumCPU()-1)
	for range workers {
		go func() {
			for i := range next {
				results[i] = functions[i]()
			}
			done <- struct{}{}
		}()
	}
	for i := range functions {
		next <- i
	}
	close(next)
	for range workers {
		<-done
	}
	return results
}
