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

// fitGroups fits a line to each figure against each varied dimension.
func fitGroups(groups []groupResult) []line {
	figures := []struct {
		name  string
		value func(r groupResult) float64
	}{
		{"ArbiterMessages", func(r groupResult) float64 { return r.LeaderMessages }},
		{"ArbiterBytes", func(r groupResult) float64 { return r.LeaderBytes }},
		{"ArbiterBusyPercent", func(r groupResult) float64 { return r.LeaderBusyPercent }},
		{"MemberBytes", func(r groupResult) float64 { return r.MemberBytes }},
		{"MemberBusyPercent", func(r groupResult) float64 { return r.MemberBusyPercent }},
		{"PlatformCalls", func(r groupResult) float64 { return r.PlatformCalls }},
	}
	varied := map[string]func(r groupResult) int{
		"Hosts":            func(r groupResult) int { return r.Hosts },
		"Servers":          func(r groupResult) int { return r.Servers },
		"Slots":            func(r groupResult) int { return r.HashSlots },
		"HotKeys":          func(r groupResult) int { return r.HotKeys },
		"ChangesPerMinute": func(r groupResult) int { return r.ChangesPerMinute },
	}
	var lines []line
	for _, against := range []string{"Hosts", "Servers", "Slots", "HotKeys", "ChangesPerMinute"} {
		for _, f := range figures {
			var xs, ys []float64
			for _, r := range groups {
				if r.Varied == against {
					xs, ys = append(xs, float64(varied[against](r))), append(ys, f.value(r))
				}
			}
			lines = append(lines, fitLine(f.name, against, xs, ys))
		}
	}
	return lines
}

// fitMemory fits a line to the heap sizes of each kind of item. Each kind has three consecutive results.
func fitMemory(results []memoryResult) []line {
	var lines []line
	for i := 0; i+2 < len(results); i += 3 {
		var xs, ys []float64
		for _, r := range results[i : i+3] {
			xs, ys = append(xs, float64(r.Count)), append(ys, float64(r.Bytes))
		}
		lines = append(lines, fitLine("Bytes", results[i].Item, xs, ys))
	}
	return lines
}
