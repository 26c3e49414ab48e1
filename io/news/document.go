package news

// document is what an entry host answers: entries, or changes in their order.
type document struct {
	At      int64
	Records []entry
}
