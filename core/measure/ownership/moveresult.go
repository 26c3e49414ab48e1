package ownership

// moveResult is the number of keys that change owner when a server is lost or joins.
type moveResult struct {
	Strategy string
	Event    string
	Keys     int
	Moved    int
	// MinMoved is the mean number of keys for each server, all of which must move to or from the server that joins or is lost.
	MinMoved int `json:"Least"`
	// Ratio is Moved divided by MinMoved.
	Ratio float64
}
