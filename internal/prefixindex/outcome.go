package prefixindex

import (
	"time"

	"laburnumfall/internal/fleet"
)

// RecordRead records the end of a request that was sent at a time, and whose target has read its parts.
func (x *Index) RecordRead(id fleet.Incarnation, parts []Part, sentAt time.Time) {
	x.eachSent(id, parts, sentAt, func(e *entry) {
		e.unread = max(e.unread-1, 0)
		e.read = true
	})
}

// RecordUnread records the end of a request that was sent at a time, and whose target may not have read
// its parts. It drops those of which nothing else says that they are kept, and tells other routers only
// if they have heard of them.
func (x *Index) RecordUnread(now time.Time, id fleet.Incarnation, parts []Part, sentAt time.Time) {
	x.eachSent(id, parts, sentAt, func(e *entry) {
		e.unread = max(e.unread-1, 0)
		switch {
		case e.read || e.unread > 0:
		case x.news.withdraw(e):
			x.remove(e)
		default:
			x.markGone(now, e)
		}
	})
}

// eachSent calls f with the entries that a request, sent at a time, has used. Those that were dropped
// and have come anew are left out.
func (x *Index) eachSent(id fleet.Incarnation, parts []Part, sentAt time.Time, f func(*entry)) {
	t := x.targets[id]
	if t == nil {
		return
	}
	for _, part := range parts {
		if e := x.entry(t, part.ID); e != nil && !e.createdAt.After(sentAt) {
			f(e)
		}
	}
}
