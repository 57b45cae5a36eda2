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

func (x *prefixTargets) get(hash uint64) string {
	element, ok := x.byHash[hash]
	if !ok || hash == 0 {
		return ""
	}
	x.byRecency.MoveToFront(element)
	entry, _ := element.Value.(*prefixEntry)
	return entry.target
}

func (x *prefixTargets) put(hash uint64, target string) {
	if hash == 0 {
		return
	}
	if x.byHash == nil {
		x.byHash = make(map[uint64]*list.Element)
	}
	if element, ok := x.byHash[hash]; ok {
		entry, _ := element.Value.(*prefixEntry)
		entry.target = target
		x.byRecency.MoveToFront(element)
		return
	}
	x.byHash[hash] = x.byRecency.PushFront(&prefixEntry{hash: hash, target: target})
	if x.byRecency.Len() > maxPrefixes {
		oldest := x.byRecency.Back()
		entry, _ := x.byRecency.Remove(oldest).(*prefixEntry)
		delete(x.byHash, entry.hash)
	}
}
