package flood

// phase is a load pattern. It overrides the normal load of some ranks and may remove a backend server.
type phase struct {
	name string
	// lowestLoad and urgentLoad are the offered loads of the least and the most urgent rank, as multiples of the capacity.
	// 0 keeps the normal load.
	lowestLoad float64
	urgentLoad float64
	// losesServer removes one backend server in the middle of the measurement window.
	losesServer bool
}

// phases are the load patterns that [Benchmark.Run] measures.
var phases = []phase{
	{name: "Calm"},
	{name: "LowestTimes3", lowestLoad: 3},
	{name: "LowestTimes10", lowestLoad: 10},
	{name: "UrgentTimes3", urgentLoad: 3},
	{name: "Both", lowestLoad: 3, urgentLoad: 3},
	{name: "ServerLostInFlood", lowestLoad: 3, losesServer: true},
}
