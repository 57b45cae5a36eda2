package admission

const (
	// sizeChance is the part of a route's chance of being sent that its requests of any
	// size have at least, as long as engines can begin at once. Large prompts take more
	// reading for what they are worth, so a router that serves the most serves few of them.
	// With two fifths, and a caller that comes back once, about half as many of them are
	// served as of all.
	sizeChance = 0.4
	// sizeMemory is over how many requests of a route its chance is averaged: some seconds
	// of a route that one router serves ten times a second.
	sizeMemory = 32
	// meanMemory is the same for the mean size, which changes more slowly.
	meanMemory = 128
	// mostOwed bounds what a size may save up, so that large requests which came while no
	// engine could begin do not all go in together afterwards.
	mostOwed = 2
	// mostRoutes bounds the routes that are counted. Routes come and go with
	// configurations; what was counted is soft, so beyond the bound all of it is dropped.
	mostRoutes = 4096
	// sizeClasses are up to the mean, up to twice, and beyond, which is about the largest
	// tenth.
	sizeClasses = 3
)

// SizeFairness keeps the size of a request from deciding whether it is served. Reading its own
// part takes a large prompt longer than what counts as room, however idle the engines
// are: nearly all that is refused would be large, and would be again when it comes back.
//
// It counts, by route and size, how many requests are owed the chance that others have.
// Its zero value is empty; a nil one owes nothing.
type SizeFairness struct {
	routes map[string]*routeSizes
}

type routeSizes struct {
	mean   float64 // own tokens of a request
	chance float64 // part of all requests that are sent
	owed   [sizeClasses]float64
}

// A sized request was counted, if its route is set.
type sized struct {
	route *routeSizes
	class int
}

// ask counts a request.
func (s *SizeFairness) ask(r Request) sized {
	if s == nil || len(r.Placement.Parts) == 0 || r.SentBefore {
		return sized{}
	}
	own := r.Placement.OwnTokens()
	if s.routes == nil || len(s.routes) > mostRoutes {
		s.routes = make(map[string]*routeSizes)
	}
	z := s.routes[r.Route.Name]
	if z == nil {
		z = &routeSizes{chance: 1, mean: float64(own)}
		s.routes[r.Route.Name] = z
	}
	z.mean += (float64(own) - z.mean) / meanMemory
	class := z.class(own)
	z.owed[class] = min(z.owed[class]+sizeChance*z.chance, mostOwed)
	return sized{route: z, class: class}
}

func (z *routeSizes) class(own int) int {
	class := 0
	for limit := z.mean; class < sizeClasses-1 && float64(own) > limit; limit *= 2 {
		class++
	}
	return class
}

// owed reports whether requests of this size have had less than their chance.
func (q sized) owed() bool {
	return q.route != nil && q.route.owed[q.class] >= 1
}

// decided notes whether the request was sent.
func (q sized) decided(sent bool) {
	if q.route == nil {
		return
	}
	result := 0.0
	if sent {
		result = 1
		q.route.owed[q.class] = max(q.route.owed[q.class]-1, -mostOwed)
	}
	q.route.chance += (result - q.route.chance) / sizeMemory
}
