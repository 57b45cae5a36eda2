package fleet

// An Incarnation names one run of a discovered target, from its start to its end. A
// target may start again under its ID, on its address: it then holds nothing of what it
// held before. What is kept about a target is therefore kept by its Incarnation, or a
// new run would be taken for one that keeps parts of prompts, is leaving, or fails.
type Incarnation struct {
	ID string `json:"id"`
	// Born is the Unix millisecond of its start, by the platform's word; 0 if that
	// tells none.
	StartMillis int64 `json:"born,omitempty"`
}

// Like reports whether two may be the same run: they have one ID, and the same start as
// far as both are known.
func (i Incarnation) MayEqual(other Incarnation) bool {
	return i.ID == other.ID && (i.StartMillis == other.StartMillis || i.StartMillis == 0 || other.StartMillis == 0)
}

// An Instance is one incarnation of a discovered target.
type Instance struct {
	Incarnation

	Pool    string `json:"pool"`
	Address string `json:"address"`
	Zone    Zone   `json:"zone"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving,omitempty"`
}
