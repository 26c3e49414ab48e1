package responsehead

// HTTP statuses (RFC 9110, section 15, and RFC 6585).
const (
	requestTimeout      = 408
	misdirectedRequest  = 421
	tooManyRequests     = 429
	internalServerError = 500
	serviceUnavailable  = 503
)
