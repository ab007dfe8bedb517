package table

// Splitter distributes the requests of routes among their targets by smooth weighted round robin, which
// follows the weights in every sequence of requests and not only on average. It is not safe for concurrent
// use.
type Splitter struct {
	routes map[string]map[string]float64
}

// NewSplitter returns a Splitter without state for any route.
func NewSplitter() *Splitter {
	return &Splitter{routes: make(map[string]map[string]float64)}
}

// Next returns the service for the next request of the route.
func (s *Splitter) Next(r *Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	current := s.routes[r.Name]
	if current == nil {
		current = make(map[string]float64, len(r.Targets))
		s.routes[r.Name] = current
	}
	best, total := "", 0.0
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		current[t.Service] += t.Weight
		total += t.Weight
		if best == "" || current[t.Service] > current[best] {
			best = t.Service
		}
	}
	current[best] -= total
	return best
}

// Prune deletes the state of routes that are no longer in the table, or whose set of target services has
// changed.
func (s *Splitter) Prune(t *Table) {
	targets := make(map[string][]Target, len(t.config.Routes))
	for _, r := range t.config.Routes {
		targets[r.Name] = r.Targets
	}
	for name, current := range s.routes {
		if !sameServices(targets[name], current) {
			delete(s.routes, name)
		}
	}
}

// sameServices reports whether the state has an entry for each target and for no other service.
func sameServices(targets []Target, current map[string]float64) bool {
	for _, t := range targets {
		if _, ok := current[t.Service]; !ok {
			return false
		}
	}
	return len(targets) == len(current)
}
