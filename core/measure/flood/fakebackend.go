package flood

// fakeBackend is a fake backend server. It runs at most slots requests at once and sheds the rest.
type fakeBackend struct {
	running int
	slots   int
}
