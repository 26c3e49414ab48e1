package capacity

// memoryResult is the memory of what a host keeps at one size.
type memoryResult struct {
	Kept     string
	Count    int
	Bytes    int
	BytesOne float64 `json:"BytesForOne"`
}
