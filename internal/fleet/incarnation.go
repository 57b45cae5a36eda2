package fleet

// An Incarnation identifies one run of a discovered target, from its start to its end. A
// target may restart with the same ID and address, and then has lost all its state. State
// about targets is therefore kept by Incarnation. Otherwise a new run would be treated as one
// that has cached prompt prefixes, is leaving, or fails.
type Incarnation struct {
	ID string `json:"id"`
	// StartMillis is the start time that the platform reports, in Unix milliseconds; 0 if it
	// reports none.
	StartMillis int64 `json:"born,omitempty"`
}

// MayEqual reports whether the two may be the same run: they have the same ID, and the same
// start time if both start times are known.
func (i Incarnation) MayEqual(other Incarnation) bool {
	return i.ID == other.ID && (i.StartMillis == other.StartMillis || i.StartMillis == 0 || other.StartMillis == 0)
}

// UnknownVersion is the version of targets on a list whose sender does not pass on versions. Two targets
// of unknown version may be of two versions.
const UnknownVersion = "\x00"

// An Instance is one incarnation of a discovered target.
type Instance struct {
	Incarnation

	Pool string `json:"pool"`
	// Version is the version of the target's software; "" if it is not stated.
	Version string `json:"version,omitempty"`
	Address string `json:"address"`
	Zone    Zone   `json:"zone"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving,omitempty"`
}
