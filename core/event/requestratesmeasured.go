package event

import "redwingsill/core/requestrate"

// RequestRatesMeasured carries the rates of the hottest keys of a backend server; KeyHash 0 is its total rate.
type RequestRatesMeasured struct {
	Server       string
	RequestRates []requestrate.RequestRate
}

func (RequestRatesMeasured) event() {}
