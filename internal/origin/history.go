package origin

import (
	"time"

	"laburnumfall/internal/fleet"
)

// historyLength is how long a version that is not listed any more is remembered.
const historyLength = 10 * time.Minute

// A History holds which versions of software the targets of each pool have had. It is deterministic.
type History struct {
	since    time.Time                       // of the first observation
	lastSeen map[string]map[string]time.Time // by pool and version; zero while it is listed
}

// Observe records the current targets.
func (h *History) Observe(now time.Time, targets []fleet.Instance) {
	if h.lastSeen == nil {
		h.since, h.lastSeen = now, make(map[string]map[string]time.Time)
	}
	for pool, versions := range h.lastSeen {
		for version, goneAt := range versions {
			switch {
			case goneAt.IsZero():
				versions[version] = now
			case now.Sub(goneAt) > historyLength:
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(h.lastSeen, pool)
		}
	}
	for _, target := range targets {
		versions := h.lastSeen[target.Pool]
		if versions == nil {
			versions = make(map[string]time.Time)
			h.lastSeen[target.Pool] = versions
		}
		versions[target.Version] = time.Time{}
	}
}

// Only returns the version of all targets that a pool has had for a time up to now. It reports false if
// there were others, or none, or if the targets have not been known for that long. If no target has ever
// stated a version, there is only one.
func (h *History) Only(now time.Time, pool string, length time.Duration) (version string, ok bool) {
	for seen, goneAt := range h.lastSeen[pool] {
		if !goneAt.IsZero() && now.Sub(goneAt) > length {
			continue
		}
		if ok {
			return "", false
		}
		version, ok = seen, true
	}
	return version, ok && version != fleet.UnknownVersion && (version == "" || now.Sub(h.since) >= length)
}
