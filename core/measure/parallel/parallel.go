// Package parallel runs independent measurements at once.
package parallel

import "runtime"

// Map runs all functions on as many goroutines as there are processors and returns their results in order.
func Map[T any](runs []func() T) []T {
	results := make([]T, len(runs))
	next := make(chan int)
	ends := make(chan struct{})
	workers := max(1, runtime.NumCPU()-1)
	for range workers {
		go func() {
			for i := range next {
				results[i] = runs[i]()
			}
			ends <- struct{}{}
		}()
	}
	for i := range runs {
		next <- i
	}
	close(next)
	for range workers {
		<-ends
	}
	return results
}
