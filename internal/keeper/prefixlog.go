package keeper

import (
	"time"

	"laburnumfall/internal/message"
	"laburnumfall/internal/prefixindex"
)

// A prefixLog passes on what routers tell of the parts of prompts that targets keep. It belongs to one
// term: a new leader starts with an empty one.
type prefixLog struct {
	log  prefixindex.Log
	term uint64
}

// exchange records a router's report and returns what the router does not have yet.
func (l *prefixLog) exchange(now time.Time, router string, term uint64, report message.KeptReport) (*message.KeptUpdate, error) {
	if l.term != term {
		*l = prefixLog{term: term}
	}
	err := l.log.Record(now, report.Changes)
	seq := report.Next
	if report.Term != term {
		seq = 0
	}
	data, next := l.log.Since(now, router, seq)
	return &message.KeptUpdate{Next: next, Changes: data}, err
}

// exchangeKept answers a router that tracks what targets keep. Its report may be malformed; the rest of
// its request is still valid.
func (c *core) exchangeKept(now time.Time, request message.RenewRequest, response *message.RenewResponse) {
	if request.Kept == nil {
		return
	}
	update, err := c.renewals.prefixLog.exchange(now, request.Router, response.Term, *request.Kept)
	if err != nil {
		c.log.Warn("a report of kept parts cannot be decoded: ignored", "router", request.Router, "error", err)
	}
	response.Kept = update
}
