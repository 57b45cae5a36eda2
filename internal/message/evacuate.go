package message

import "laburnumfall/internal/fleet"

// An EvacuateRequest starts the evacuation of an availability zone, whose targets then get no
// new work, or ends it.
type EvacuateRequest struct {
	Zone     fleet.Zone `json:"zone"`
	End      bool       `json:"end,omitempty"`
	Operator string     `json:"operator,omitempty"`
}

// An EvacuateResult is the result of MethodEvacuate: all evacuated zones.
type EvacuateResult struct {
	Zones []fleet.Zone `json:"zones"`
}
