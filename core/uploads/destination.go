package uploads

// destination is a service of a route. A route has one rank.
type destination struct{ route, service string }
