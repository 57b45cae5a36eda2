package admission

import (
	"time"

	"laburnumfall/internal/placement"
	"laburnumfall/internal/quota"
)

// briefPart is the part of the aim, as a divisor, within which a request counts as brief.
const briefPart = 10

// ShortWait lets in what would have its first byte within a small part of its aim, whatever its
// account has: it delays hardly anyone. Without it, accounts that have more than others find
// neither reading time nor slots, which then stand idle, and most of all callers with short
// prompts are refused.
type ShortWait struct{}

var _ Rule = ShortWait{}

// Admits implements Rule.
func (ShortWait) Admits(_ time.Time, _ *quota.Shares, r Request, c *placement.Choice) bool {
	return c.PredictedTTFB <= r.Route.Aim/briefPart && c.Load <= roomLoad
}
