package responsesyntax

// state is the part of a response in which the next byte is.
type state uint8

const (
	statusLine state = iota
	// fieldStart is the start of a line of the head or of the trailers, which may be the empty one.
	fieldStart
	fieldName
	fieldValue
	// body is that of a response with a length, and untilEnd that of one which ends with the connection.
	body
	untilEnd
	// chunkLine is the line before the data of a chunk, and chunkEnd the line end after them.
	chunkLine
	chunkData
	chunkEnd
)
