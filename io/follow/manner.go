package follow

// Manner is how a prefix is followed. The variants are [Watching] and [Polling].
//
//sumtype:decl
type Manner interface {
	manner()
}
