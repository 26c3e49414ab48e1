package keyload

// keyCount is a key with its decayed number of requests.
type keyCount struct {
	key   int
	count float64
}
