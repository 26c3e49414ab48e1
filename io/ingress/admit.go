package ingress

import (
	"context"
	"net/http"
	"slices"

	"redwingsill/core/admission"
	"redwingsill/core/destination"
	"redwingsill/core/outcome"
	"redwingsill/core/routing"
	"redwingsill/core/rule"
	"redwingsill/io/origin"
)

// admitBody decides whether the body of a request is read. For a long body it picks the service, which a refusal also uses up, so
// that the weights of a route's services hold for all its requests. Otherwise the service is empty and the body nil.
func (i *Ingress) admitBody(r *http.Request, routes *routing.Routing, route *rule.Rule, request origin.Request) (string, *longBody, *refusal) {
	if r.Body == nil || r.Body == http.NoBody || !i.longBodies.concerns(r.ContentLength) {
		return "", nil, nil
	}
	service := i.forwarder.PickService(route)
	body, answer := i.longBodies.offer(route, service, routes.Services[service].IsSharded, r.ContentLength, request.Arrived, request.Deadline)
	if refused, ok := answer.(admission.Refused); ok {
		i.metrics.CountRefusedBody(service, string(refused.Reason))
		return "", nil, &refusal{http.StatusServiceUnavailable, refused.RetryAfter, refusalTexts[refused.Reason]}
	}
	body.from, r.Body = r.Body, body
	return service, body, nil
}

// refusalTexts are what callers and the log read.
var refusalTexts = map[admission.Reason]string{
	admission.Link:     "no room for a long body on this host's link",
	admission.Overload: "the service has just refused such requests for overload",
}

// serve forwards a request. The service is empty if none was picked yet; a new configuration may have removed it from the route.
func (i *Ingress) serve(ctx context.Context, route *rule.Rule, service string, request origin.Request, key int,
	long *longBody) (*origin.Response, outcome.Outcome) {
	if !slices.ContainsFunc(route.Destinations, func(d destination.Destination) bool { return d.Service == service }) {
		service = i.forwarder.PickService(route)
	}
	response, failure := i.forwarder.ServeBy(ctx, route, service, request, key, long.send)
	long.record(response, failure)
	responseBody := int64(0)
	if response != nil {
		responseBody = int64(len(response.Body))
	}
	i.longBodies.countShort(int64(len(request.Body)), responseBody)
	return response, failure
}
