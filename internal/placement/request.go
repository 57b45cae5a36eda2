package placement

import "laburnumfall/internal/fleet"

// A PromptPart is one part of a prompt. All parts but the last may be shared with other requests;
// the last belongs to one request.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// A Request holds what the choice of a target depends on.
type Request struct {
	Pool  string
	Parts []PromptPart
	// Avoid lists targets that the request was sent to before. They are used only if there is no
	// other.
	Avoid []fleet.Incarnation
	// OnlyTarget is the ID of the only target allowed, or "" for any.
	OnlyTarget string
	// OnlyVersion is the only software version of targets allowed; nil for any.
	OnlyVersion *string
	// Output is the largest number of generated tokens that the request allows.
	Output int

	anyTarget bool // consider all targets of a pool whose targets differ in pace
}

// allows reports whether a request may go to a target of its pool, regardless of the target's state.
func (r Request) allows(target fleet.Instance) bool {
	return (r.OnlyTarget == "" || target.ID == r.OnlyTarget) && (r.OnlyVersion == nil || target.Version == *r.OnlyVersion && target.Version != fleet.UnknownVersion)
}

// shared returns the parts that other requests may have in common with this one.
func (r Request) shared() []PromptPart {
	if len(r.Parts) == 0 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// OwnTokens returns the tokens of the request's own part, which must be prefilled at any target.
func (r Request) OwnTokens() int {
	if len(r.Parts) == 0 {
		return 0
	}
	return r.Parts[len(r.Parts)-1].Tokens
}
