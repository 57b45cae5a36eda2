package message

import "laburnumfall/internal/fleet"

// An EvacuateRequest starts the evacuation of an availability zone, whose targets then get no
// new work, or ends it.
type EvacuateRequest struct {
	Zone     fleet.Zone `json:"zone"`
	End      bool       `json:"end,omitempty"`
	Operator string     `json:"operator,omitempty"`
}

// An EvacuateResult is the result of MethodEvacuate.
type EvacuateResult struct {
	Zones []fleet.Zone `json:"zones"` // all evacuated zones
	// Unconfirmed says that the zone of the request is not known to exist: no setting or
	// configuration names it, nor does the list of targets as far as it can be read.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
}
