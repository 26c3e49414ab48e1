package route

// MaxHops is the maximum number of entry hosts that may forward a request, so that hosts with different snapshots can't
// forward it in a loop.
const MaxHops = 2
