package origin

import (
	"errors"

	"redwingsill/core/instance"
	"redwingsill/core/kind"
)

// newShutOffError returns the error of a request to a server to which nothing may be sent any more.
func newShutOffError(to instance.Instance) *Error {
	return newError("connect to "+to.Address, kind.Unavailable, errors.New("the data centre of the server is being evacuated"))
}

// CloseIdle closes the idle connections to an address. They follow when a data centre is evacuated.
func (c *Client) CloseIdle(address string) { c.conns.closeIdle(address) }
