package flood

// backend is the fake of a backend server: it runs so many requests at once and sheds the rest.
type backend struct {
	running int
	slots   int
}
