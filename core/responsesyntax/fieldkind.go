package responsesyntax

// fieldKind is what a field says of the body.
type fieldKind uint8

const (
	other fieldKind = iota
	contentLength
	transferEncoding
	// bodyForm is any other field by which the body is read.
	bodyForm
)
