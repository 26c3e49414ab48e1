package loadgenerator

import (
	"fmt"
	"strconv"
	"strings"
)

// stream describes requests to one service with one rank, which are sent at a constant average rate.
type stream struct {
	service string
	rank    string
	// rate is in requests per second.
	rate float64
	// hasRequestIDs is true if each request has an ID. Requests with the same ID run at most once.
	hasRequestIDs bool
	// isKeyed is true if each request has a key.
	isKeyed bool
	// deadline is the value of the deadline header, such as "1s", or empty if the header is not sent.
	deadline string
}

// parseStream parses a stream of the form "service:rank:rate[:once][:keyed][:deadline=1s]". The option once gives each
// request an ID, and keyed gives each request a key.
func parseStream(text string) (stream, error) {
	parts := strings.Split(text, ":")
	if len(parts) < 3 {
		return stream{}, fmt.Errorf("stream %q is not service:rank:rate[:once][:keyed][:deadline=1s]", text)
	}
	rate, err := strconv.ParseFloat(parts[2], 64)
	if err != nil || rate <= 0 {
		return stream{}, fmt.Errorf("stream %q: rate %q is not a number above 0", text, parts[2])
	}
	s := stream{service: parts[0], rank: parts[1], rate: rate}
	for _, option := range parts[3:] {
		value, isDeadline := strings.CutPrefix(option, "deadline=")
		switch {
		case option == "once":
			s.hasRequestIDs = true
		case option == "keyed":
			s.isKeyed = true
		case isDeadline:
			s.deadline = value
		default:
			return stream{}, fmt.Errorf("stream %q: option %q is not once, keyed or deadline=", text, option)
		}
	}
	return s, nil
}
