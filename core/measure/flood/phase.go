package flood

// phase is a load: the work offered in each rank as a share of the fleet's capacity, where it differs from the calm one.
type phase struct {
	name string
	// lowest and urgent replace the shares of the least and the most urgent rank; 0 leaves them calm.
	lowest float64
	urgent float64
	// loses says that one backend server is lost in the middle.
	loses bool
}

var phases = []phase{
	{name: "Calm"},
	{name: "LowestTimes3", lowest: 3},
	{name: "LowestTimes10", lowest: 10},
	{name: "UrgentTimes3", urgent: 3},
	{name: "Both", lowest: 3, urgent: 3},
	{name: "ServerLostInFlood", lowest: 3, loses: true},
}
