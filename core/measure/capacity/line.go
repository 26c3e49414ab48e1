package capacity

// line is the least-squares line of one figure against one varied dimension or number of items.
type line struct {
	Figure  string
	Against string
	// Intercept is the figure at 0, and Gradient its increase per unit of the dimension.
	Intercept float64 `json:"At"`
	Gradient  float64 `json:"Each"`
	// Points is the number of points that the line is fitted to.
	Points int
}

// fitLine returns the least-squares line through the points (xs[i], ys[i]).
func fitLine(figure, against string, xs, ys []float64) line {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
	}
	gradient := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return line{Figure: figure, Against: against, Intercept: (sy - gradient*sx) / n, Gradient: gradient, Points: len(xs)}
}
