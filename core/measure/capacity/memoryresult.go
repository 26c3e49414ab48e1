package capacity

// memoryResult is the heap size of one of a host's collections at one number of items.
type memoryResult struct {
	Item         string `json:"Kept"`
	Count        int
	Bytes        int
	BytesPerItem float64 `json:"BytesForOne"`
}
