package capacity

// slope is the least-squares line through the results of one thing that was varied.
type slope struct {
	Figure  string
	Against string
	// At is the value at 0, and Each what one more adds.
	At     float64
	Each   float64
	Points int
}

// fit returns the line through points.
func fit(figure, against string, xs, ys []float64) slope {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
	}
	each := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope{Figure: figure, Against: against, At: (sy - each*sx) / n, Each: each, Points: len(xs)}
}
