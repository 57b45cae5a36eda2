package message

// A KeptReport says what a router has learned of the parts of prompts that targets keep. Changes are
// encoded by package prefixindex. A report that is lost or sent twice does no harm.
type KeptReport struct {
	// Term and Next are those of the last KeptUpdate that the router has applied.
	Term    uint64 `json:"term,omitempty"`
	Next    uint64 `json:"next,omitempty"`
	Changes []byte `json:"changes,omitempty"`
}

// A KeptUpdate has the changes that all routers have told since the router's last update. Next counts
// the changes within the term of the response.
type KeptUpdate struct {
	Next    uint64 `json:"next,omitempty"`
	Changes []byte `json:"changes,omitempty"`
}
