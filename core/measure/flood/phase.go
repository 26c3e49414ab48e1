package flood

// phase is a load pattern. It overrides the calm load of some ranks and may take a server away.
type phase struct {
	name string
	// lowestShare and urgentShare are the offered loads of the least and the most urgent rank, as multiples of the capacity.
	// 0 keeps the calm load.
	lowestShare float64
	urgentShare float64
	// losesServer removes one backend server in the middle of the measurement window.
	losesServer bool
}

// phases are the load patterns that [Benchmark.Run] measures.
var phases = []phase{
	{name: "Calm"},
	{name: "LowestTimes3", lowestShare: 3},
	{name: "LowestTimes10", lowestShare: 10},
	{name: "UrgentTimes3", urgentShare: 3},
	{name: "Both", lowestShare: 3, urgentShare: 3},
	{name: "ServerLostInFlood", lowestShare: 3, losesServer: true},
}
