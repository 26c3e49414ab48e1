package origin

import (
	"net/http"

	"redwingsill/core/announcement"
	"redwingsill/core/instance"
)

// announcementOf returns what the head of the last response on a connection says of the server that r was sent to. It
// says nothing if there is none, or if it answers an earlier request or comes from another instance.
func (c *Client) announcementOf(head *http.Response, to instance.Instance, r Request) announcement.Announcement {
	if head == nil || head.Header.Get(c.headers.AttemptID) != r.AttemptID {
		return announcement.Announcement{}
	}
	// The instance that a request names need not name itself, but another one answers 421 in general without its own ID.
	id := head.Header.Get(c.headers.InstanceID)
	if id != "" && id != to.ID || id == "" && head.StatusCode == http.StatusMisdirectedRequest {
		return announcement.Announcement{}
	}
	a := announcement.Announcement{IsLeaving: head.Header.Get(c.headers.Leaving) == leavingValue}
	if c.headers.WarmUp != "" {
		a.ColdFor = parseWarmUp(head.Header.Get(c.headers.WarmUp))
	}
	if value := head.Header.Get("Retry-After"); value != "" && head.StatusCode == http.StatusServiceUnavailable {
		pause, isValid := parseRetryAfter(head.Header, c.now())
		a.Pause = pause
		if !isValid {
			a.InvalidRetryAfter = value[:min(len(value), maxLoggedValue)]
		}
	}
	return a
}
