package front

import "sync"

// maxRouteLabels is the maximum number of routes with their own metric label. It bounds the cardinality,
// because the metrics system stores a time series for each label value.
const maxRouteLabels = 100

// otherRoutesLabel is the label of all routes above the limit.
const otherRoutesLabel = "other"

// routeLabels assigns metric labels to routes. The first routes requested, up to maxRouteLabels, are labeled
// with their names.
type routeLabels struct {
	mu    sync.Mutex
	known map[string]bool
}

// label returns the metric label of a route.
func (n *routeLabels) label(route string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.known[route] {
		return route
	}
	if len(n.known) >= maxRouteLabels {
		return otherRoutesLabel
	}
	if n.known == nil {
		n.known = make(map[string]bool)
	}
	n.known[route] = true
	return route
}
