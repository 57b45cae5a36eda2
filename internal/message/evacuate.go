package message

import "laburnumfall/internal/fleet"

// An Evacuate asks that the targets of an availability zone get no new work, or that this
// ends.
type EvacuateRequest struct {
	Zone     fleet.Zone `json:"zone"`
	End      bool       `json:"end,omitempty"`
	Operator string     `json:"operator,omitempty"`
}

// An Evacuated is the result of MethodEvacuate: all zones that are evacuated.
type EvacuateResult struct {
	Zones []fleet.Zone `json:"zones"`
}
