package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/quarantine"
)

const (
	// settlePeriod is how long a simulation goes on after the last end.
	settlePeriod = 15 * time.Second
	// maxUnserved is the fraction of requests that may be refused because of parts that end no target.
	maxUnserved = 0.01
)

var partFleetSizes = []struct {
	routers, targets int
	endInterval      time.Duration // between two ends
	large            bool
}{
	{routers: 8, targets: 18, endInterval: 500 * time.Millisecond},
	{routers: 150, targets: 400, endInterval: 100 * time.Millisecond},
	{routers: 1900, targets: 4900, endInterval: 50 * time.Millisecond, large: true},
}

// Guards against parts that are held back although they only ran beside 100 ends of targets.
func TestEndsOfTargetsHoldBackNoPart(t *testing.T) {
	for _, size := range partFleetSizes {
		t.Run(fmt.Sprint(size.targets, " targets"), func(t *testing.T) {
			if size.large && testing.Short() {
				t.Skip("takes long")
			}
			s := newPartSimulation(1, size.routers, size.targets)
			s.advance(5*time.Second, nil)
			ends, nextEnd := 0, s.now
			s.advance(100*size.endInterval, func() {
				for ; ends < 100 && !s.now.Before(nextEnd); ends++ {
					nextEnd = nextEnd.Add(size.endInterval)
					if target := s.pick(""); target != nil {
						s.end(target)
					}
				}
			})
			s.advance(settlePeriod, nil)
			s.log(t)
			require.LessOrEqual(t, float64(s.refused), maxUnserved*float64(s.sent))
		})
	}
}

// Guards against a part that goes on ending targets, and against other parts that are held back for it.
func TestPoisonPartIsQuarantinedAlone(t *testing.T) {
	for _, size := range partFleetSizes {
		t.Run(fmt.Sprint(size.targets, " targets"), func(t *testing.T) {
			if size.large && testing.Short() {
				t.Skip("takes long")
			}
			s := newPartSimulation(2, size.routers, size.targets)
			s.advance(5*time.Second, nil)
			refusedPoison := 0
			s.advance(20*time.Second, func() {
				for range s.poisson(8 * partTick.Seconds()) {
					s.sent++
					refusedBefore := s.refused
					s.submit([]quarantine.Fingerprint{quarantine.Fingerprint(fmt.Sprint("request", s.sent)), s.prompt(promptKinds[2])[1], poisonPart})
					refusedPoison += s.refused - refusedBefore
				}
			})
			s.log(t)
			t.Logf("the poison part ran %d times and ended %d targets", len(s.poisonRuns), len(s.poisonEnds))
			require.GreaterOrEqual(t, len(s.poisonEnds), 3)
			late := 0
			if len(s.poisonEnds) >= 5 {
				late = countAfter(s.poisonRuns, s.poisonEnds[4].Add(settleTime))
			}
			require.LessOrEqual(t, late, maxRuns)
			require.LessOrEqual(t, float64(s.refused-refusedPoison), maxUnserved*float64(s.sent))
		})
	}
}
