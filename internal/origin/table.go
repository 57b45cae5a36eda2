package origin

import "time"

const (
	// maxRecords bounds the streams that are kept. A router of the largest fleet keeps some thousands.
	maxRecords = 1 << 16
	// maxRequestID is the length in bytes of the longest request ID that is kept.
	maxRequestID = 256
	// maxLifetime bounds how long a stream is kept, whatever its caller's deadline.
	maxLifetime = 5 * time.Minute
	// sweepInterval is the time between two searches for expired records.
	sweepInterval = time.Second
)

// A record is where one stream began.
type record struct {
	Origin
	recordedAt, expiresAt time.Time
	// ambiguous says that two streams with the same request ID began at different places.
	ambiguous bool
}

// A table keeps records by the ID of the request that began the stream.
type table struct {
	records map[string]record
	sweptAt time.Time
}

// add adds a record. While the table is full, the stream stays unknown.
func (t *table) add(now time.Time, request string, added record) {
	t.sweep(now)
	if len(request) > maxRequestID {
		return
	}
	if t.records == nil {
		t.records = make(map[string]record)
	}
	added.expiresAt = earlier(added.expiresAt, now.Add(maxLifetime))
	if known, ok := t.records[request]; ok {
		known.ambiguous = known.ambiguous || known.Origin != added.Origin
		known.expiresAt = later(known.expiresAt, added.expiresAt)
		t.records[request] = known
		return
	}
	if len(t.records) < maxRecords {
		t.records[request] = added
	}
}

// find returns the record of a request that has not expired and is not ambiguous.
func (t *table) find(now time.Time, request string) (record, bool) {
	found, ok := t.records[request]
	return found, ok && !found.ambiguous && now.Before(found.expiresAt)
}

func (t *table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for request, kept := range t.records {
		if !now.Before(kept.expiresAt) {
			delete(t.records, request)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
