package uploads

import (
	"redwingsill/core/refusalshare"
	"redwingsill/core/servicetime"
)

// history holds the outcomes of the uploads for a destination.
type history struct {
	refusals refusalshare.RefusalShare
	// work is the time from the end of a body to the response.
	work servicetime.Average
}
