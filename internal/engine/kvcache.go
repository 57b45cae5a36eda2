package engine

import (
	"time"

	"laburnumfall/internal/placement"
)

// kvCache holds shared parts of prompts and the tokens of running requests. A part that a running
// request uses cannot be evicted; the least recently used of the other parts is evicted first.
type kvCache struct {
	parts         map[uint64]*cachedPart
	requests      map[*requestState]bool
	everPrefilled map[uint64]bool // IDs of parts that this engine has ever prefilled
}

type cachedPart struct {
	tokens     int
	references int
	lastUsed   time.Time
	complete   bool // whether a request that uses the part has prefilled it
}

// cachedTokens returns how many tokens at the beginning of a prompt are cached. A part counts
// only if all parts before it are cached.
func (c *kvCache) cachedTokens(parts []placement.PromptPart) int {
	sum := 0
	for _, part := range parts {
		if cached := c.parts[part.ID]; cached == nil || !cached.complete {
			break
		}
		sum += part.Tokens
	}
	return sum
}

// add adds a request. It returns how many tokens of the request's shared parts are not cached,
// and how many of these this engine had prefilled before.
func (c *kvCache) add(now time.Time, req *requestState) (uncached, recomputed int) {
	if c.parts == nil {
		c.parts, c.requests = make(map[uint64]*cachedPart), make(map[*requestState]bool)
	}
	if c.everPrefilled == nil {
		c.everPrefilled = make(map[uint64]bool)
	}
	cachedLeft := c.cachedTokens(req.sharedParts())
	uncached = countTokens(req.sharedParts()) - cachedLeft
	for _, part := range req.sharedParts() {
		if cached := c.parts[part.ID]; cachedLeft <= 0 && c.everPrefilled[part.ID] && (cached == nil || !cached.complete) {
			recomputed += part.Tokens
		}
		cachedLeft -= part.Tokens
		c.acquire(now, part)
	}
	c.requests[req] = true
	return uncached, min(recomputed, uncached)
}

func (c *kvCache) acquire(now time.Time, part placement.PromptPart) {
	cached := c.parts[part.ID]
	if cached == nil {
		cached = &cachedPart{tokens: part.Tokens}
		c.parts[part.ID] = cached
	}
	cached.references++
	cached.lastUsed = now
}

// markPrefilled marks the shared parts of a request as complete once its prompt is prefilled.
func (c *kvCache) markPrefilled(now time.Time, req *requestState) {
	for _, part := range req.sharedParts() {
		c.everPrefilled[part.ID] = true
		if cached := c.parts[part.ID]; cached != nil {
			cached.complete, cached.lastUsed = true, now
		}
	}
}

// release removes a request, and with it the parts that are incomplete and that no other request
// uses.
func (c *kvCache) release(req *requestState) {
	delete(c.requests, req)
	for _, part := range req.sharedParts() {
		cached := c.parts[part.ID]
		if cached == nil {
			continue
		}
		if cached.references--; cached.references <= 0 && !cached.complete {
			delete(c.parts, part.ID)
		}
	}
}

// usedTokens returns how many tokens the cache holds.
func (c *kvCache) usedTokens() int {
	sum := 0
	for _, part := range c.parts {
		sum += part.tokens
	}
	for req := range c.requests {
		sum += req.uniqueTokens() + req.generated
	}
	return sum
}

// evictTo evicts parts until the cache holds at most limit tokens. It returns by how many tokens
// the cache still exceeds the limit.
func (c *kvCache) evictTo(limit int) int {
	excess := c.usedTokens() - limit
	for excess > 0 {
		id, ok := c.leastRecentlyUsed()
		if !ok {
			return excess
		}
		excess -= c.parts[id].tokens
		delete(c.parts, id)
	}
	return 0
}

func (c *kvCache) leastRecentlyUsed() (uint64, bool) {
	var id uint64
	var oldest *cachedPart
	for otherID, part := range c.parts {
		if part.references > 0 {
			continue
		}
		if oldest == nil || part.lastUsed.Before(oldest.lastUsed) || part.lastUsed.Equal(oldest.lastUsed) && otherID < id {
			id, oldest = otherID, part
		}
	}
	return id, oldest != nil
}

// fits reports whether a prompt fits into the cache if all unused parts are evicted.
func (c *kvCache) fits(limit, promptTokens int) bool {
	sum := promptTokens
	for _, part := range c.parts {
		if part.references > 0 {
			sum += part.tokens
		}
	}
	for req := range c.requests {
		sum += req.uniqueTokens() + req.generated
	}
	return sum <= limit
}
