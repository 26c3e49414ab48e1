package simulation

// occupancy is the server that runs a key at present, and how many requests for it.
type occupancy struct {
	server string
	count  int
}
