package event

import "redwingsill/core/requestrate"

// RequestRatesMeasured carries the rates of a lease holder's hottest keys.
type RequestRatesMeasured struct {
	Server       string
	RequestRates []requestrate.RequestRate
}

func (RequestRatesMeasured) event() {}
