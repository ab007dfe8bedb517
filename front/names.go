package front

import "sync"

// maxRouteNames bounds the routes that metrics tell apart. Scrapers keep each value of a tag.
const maxRouteNames = 100

// otherRoutes is the name of all routes beyond the bound.
const otherRoutes = "other"

// routeNames are the first routes that were asked for.
type routeNames struct {
	mu    sync.Mutex
	known map[string]bool
}

// name returns the name of a route for metrics.
func (n *routeNames) name(route string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.known[route] {
		return route
	}
	if len(n.known) >= maxRouteNames {
		return otherRoutes
	}
	if n.known == nil {
		n.known = make(map[string]bool)
	}
	n.known[route] = true
	return route
}
