package forward

import (
	"context"
	"errors"
	"time"

	"redwingsill/core/outcome"
	"redwingsill/io/origin"
)

// record updates the metrics, and logs the request if it has no response or needed more than one round.
func (f *Forwarder) record(ctx context.Context, s *requestState, response *origin.Response, failure outcome.Outcome, took time.Duration) {
	name := "Answered"
	if failure != nil {
		name = outcome.Name(failure)
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		name = "Left" // the caller has disconnected, or this host is shutting down
	}
	f.metrics.ObserveRequest(s.service, s.route.Rank, name, took)
	if s.refusalReason != "" {
		f.metrics.CountRefusal(s.service, s.route.Rank, s.refusalReason, took > maxImmediate)
	}
	if response != nil && s.rounds == 1 {
		return
	}
	f.log.Info("request", "ID", s.request.AttemptID, "Outcome", name, "Route", s.route.Name, "Service", s.service, "Key", s.key,
		"Rank", s.route.Rank, "Server", s.incarnation, "Result", s.result.String(), "Refused", string(s.refusalReason), "Rounds", s.rounds,
		"Sent", s.history.Sent, "Configuration", f.routing.Read().Version, "Took", took, "Error", s.err)
}
