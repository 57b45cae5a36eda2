package quota

import (
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/pace"
)

// maxPaces bounds the targets of which a leader keeps a statement. It is several times the largest
// number of targets.
const maxPaces = 1 << 15

// Paces holds the newest statement of each target on the leader. It is not persisted: statements expire
// within a second, and a new leader has the newest ones after one period. The zero value is empty.
type Paces struct {
	newest map[fleet.Incarnation]pace.Statement
}

// Report records the statements that a router has passed on. Only the newest of a target counts.
func (p *Paces) Report(now time.Time, list []message.TargetPace) {
	if len(list) > 0 && p.newest == nil {
		p.newest = make(map[fleet.Incarnation]pace.Statement)
	}
	for _, entry := range list {
		key, at := entry.Incarnation(), entry.StatedAt(now)
		before, known := p.newest[key]
		if known && !at.After(before.At) || !known && len(p.newest) >= maxPaces {
			continue
		}
		p.newest[key] = pace.Statement{Slowdown: entry.Slowdown(), At: at}
	}
}

const (
	// agePrecisionDivisor sets the precision of the ages in a column: the report period divided by it.
	// Routers of a large fleet get columns of many targets, and rarely.
	agePrecisionDivisor = 3
	// maxColumnPaces bounds the statements in a column. The youngest count: those about to expire say least.
	maxColumnPaces = 600
)

// Column returns one character for each target, in order, for a number of routers, or "" if there is no
// statement. See [pace.Statement.Encode].
func (p *Paces) Column(now time.Time, routers int, targets []fleet.Instance) string {
	p.dropExpired(now)
	if len(p.newest) == 0 {
		return ""
	}
	oldest := p.oldestInColumn(now)
	column := make([]byte, len(targets))
	for i, target := range targets {
		s := p.newest[target.Incarnation]
		if s.At.Before(oldest) {
			s = pace.Statement{} // has expired
		}
		column[i] = s.Encode(now, ReportPeriod(routers)/agePrecisionDivisor)
	}
	return string(column)
}

// oldestInColumn returns the time of the oldest statement that a column has room for.
func (p *Paces) oldestInColumn(now time.Time) time.Time {
	oldest := now.Add(-pace.Lifetime)
	if len(p.newest) <= maxColumnPaces {
		return oldest
	}
	const buckets = 32
	var counts [buckets]int
	for _, s := range p.newest {
		counts[min(max(int(now.Sub(s.At)*buckets/pace.Lifetime), 0), buckets-1)]++
	}
	sum := 0
	for i, n := range counts {
		if sum += n; sum > maxColumnPaces {
			return now.Add(-pace.Lifetime * time.Duration(i) / buckets)
		}
	}
	return oldest
}

func (p *Paces) dropExpired(now time.Time) {
	for key, s := range p.newest {
		if now.Sub(s.At) >= pace.Lifetime {
			delete(p.newest, key)
		}
	}
}

// DecodePaces returns the statements of a column, by target. A column that does not fit the targets has
// none.
func DecodePaces(now time.Time, column string, targets []fleet.Instance) map[fleet.Incarnation]pace.Statement {
	if len(column) == 0 || len(column) != len(targets) {
		return nil
	}
	statements := make(map[fleet.Incarnation]pace.Statement)
	for i := range targets {
		if s, ok := pace.Decode(now, column[i]); ok {
			statements[targets[i].Incarnation] = s
		}
	}
	return statements
}
