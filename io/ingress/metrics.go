package ingress

// Metrics counts refusals.
type Metrics interface {
	// CountRefusedBody counts a request for a service that was refused before its long body was read, by the reason.
	CountRefusedBody(service, reason string)
}
