package admission

const (
	// minSentFraction is the least chance of being sent for requests of any size, relative to all
	// requests of the route, while engines can start them at once. Large prompts need more
	// prefill for their value, so a router that maximizes served requests serves few of them.
	// With 0.4 and one retry per caller, about half as many of them are served as of all.
	minSentFraction = 0.4
	// sentWindow is the number of a route's requests over which sentFraction is averaged: a few
	// seconds if a router serves 10 requests per second of the route.
	sentWindow = 32
	// meanWindow is the same for meanTokens, which changes more slowly.
	meanWindow = 128
	// maxCredit bounds the credit of a size class, so that large requests that came while no
	// engine could start them are not all sent together afterwards.
	maxCredit = 2
	// maxRoutes bounds the number of tracked routes. Routes change with configurations. The
	// statistics can be rebuilt, so all are dropped when the bound is exceeded.
	maxRoutes = 4096
	// sizeClasses is the number of size classes: up to the mean, up to twice the mean, and
	// larger. The last holds about the largest tenth.
	sizeClasses = 3
)

// SizeFairness prevents the size of a request from deciding whether it is served. Prefill of the
// own part of a large prompt takes longer than the headroom, even on an idle engine. Almost all
// refused requests would be large, and would be refused again on retry.
//
// It tracks by route and size class how many requests may be admitted to give each class its
// minimum chance. The zero value is empty; a nil SizeFairness grants no credit.
type SizeFairness struct {
	routes map[string]*routeStats
}

type routeStats struct {
	meanTokens   float64 // own tokens per request
	sentFraction float64 // moving average over all requests of the route
	credit       [sizeClasses]float64
}

// A sizedRequest is a request that has been counted in its size class. It was not counted if
// route is nil. It was refused before if it has a place.
type sizedRequest struct {
	route    *routeStats
	class    int
	hasPlace bool
}

// count adds a request to its size class and increases the credit of the class. One that takes its place
// was counted when it was about to be refused.
func (s *SizeFairness) count(r Request) sizedRequest {
	if s == nil || len(r.Placement.Parts) == 0 || r.SentBefore {
		return sizedRequest{}
	}
	ownTokens := r.Placement.OwnTokens()
	if route := s.routes[r.Route.Name]; route != nil && r.HasPlace {
		return sizedRequest{route: route, class: route.sizeClass(ownTokens), hasPlace: true}
	}
	if s.routes == nil || len(s.routes) > maxRoutes {
		s.routes = make(map[string]*routeStats)
	}
	route := s.routes[r.Route.Name]
	if route == nil {
		route = &routeStats{sentFraction: 1, meanTokens: float64(ownTokens)}
		s.routes[r.Route.Name] = route
	}
	route.meanTokens += (float64(ownTokens) - route.meanTokens) / meanWindow
	class := route.sizeClass(ownTokens)
	route.credit[class] = min(route.credit[class]+minSentFraction*route.sentFraction, maxCredit)
	return sizedRequest{route: route, class: class}
}

func (s *routeStats) sizeClass(ownTokens int) int {
	class := 0
	for limit := s.meanTokens; class < sizeClasses-1 && float64(ownTokens) > limit; limit *= 2 {
		class++
	}
	return class
}

// hasCredit reports whether requests of this size class were sent less often than their minimum
// chance.
func (r sizedRequest) hasCredit() bool {
	return r.route != nil && r.route.credit[r.class] >= 1
}

// recordDecision records whether the request was sent. For one that takes its place, it corrects the refusal
// that was recorded.
func (r sizedRequest) recordDecision(sent bool) {
	if r.route == nil {
		return
	}
	if sent {
		r.route.credit[r.class] = max(r.route.credit[r.class]-1, -maxCredit)
	}
	if r.hasPlace {
		if sent {
			r.route.sentFraction += 1.0 / sentWindow
		}
		return
	}
	result := 0.0
	if sent {
		result = 1
	}
	r.route.sentFraction += (result - r.route.sentFraction) / sentWindow
}
