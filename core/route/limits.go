package route

// MaxHops bounds the entry hosts that a request is sent on to.
const MaxHops = 2
