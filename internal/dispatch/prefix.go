package dispatch

import "container/list"

// maxPrefixes is the largest number of prompt prefixes that a router remembers.
const maxPrefixes = 8192

// prefixTargets records which target last served each prompt prefix, in an LRU cache. It is only a
// hint: the target may have evicted the prefix from its own cache.
type prefixTargets struct {
	byHash    map[uint64]*list.Element
	byRecency list.List
}

type prefixEntry struct {
	hash   uint64
	target string
}

func (p *prefixTargets) get(hash uint64) string {
	element, ok := p.byHash[hash]
	if !ok || hash == 0 {
		return ""
	}
	p.byRecency.MoveToFront(element)
	entry, _ := element.Value.(*prefixEntry)
	return entry.target
}

func (p *prefixTargets) put(hash uint64, target string) {
	if hash == 0 {
		return
	}
	if p.byHash == nil {
		p.byHash = make(map[uint64]*list.Element)
	}
	if element, ok := p.byHash[hash]; ok {
		entry, _ := element.Value.(*prefixEntry)
		entry.target = target
		p.byRecency.MoveToFront(element)
		return
	}
	p.byHash[hash] = p.byRecency.PushFront(&prefixEntry{hash: hash, target: target})
	if p.byRecency.Len() > maxPrefixes {
		oldest := p.byRecency.Back()
		entry, _ := p.byRecency.Remove(oldest).(*prefixEntry)
		delete(p.byHash, entry.hash)
	}
}
