package keeper

import (
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

const (
	// zoneListTTL is the age up to which a reading of the list of targets shows that a zone has no
	// targets. It covers a read that times out and the reads before and after it.
	zoneListTTL = 5 * time.Second
	// zoneMemory is how long a zone counts as named after the list last named it. The targets of a
	// failed zone may leave the list before an operator evacuates the zone.
	zoneMemory = 10 * time.Minute
	// maxRememberedZones bounds the zones that are remembered beyond those of the newest reading.
	maxRememberedZones = 1000
	// zoneCheckTimeout is how long a new leader defers orders for zones that it cannot check. It
	// covers a first read of the list, and leaves time to answer an operator within a second.
	zoneCheckTimeout = 500 * time.Millisecond
	// maxEvacuatedZones and maxZoneLength (bytes) bound what orders for unchecked zones can store.
	maxEvacuatedZones = 64
	maxZoneLength     = 256
)

// A zoneCheck says whether a zone has a name that the fleet knows.
type zoneCheck int

const (
	// zoneUnchecked is a zone that is not known to exist, while the list cannot show that it does
	// not.
	zoneUnchecked zoneCheck = iota
	zoneNamed
	zoneUnnamed
)

// listedZones are the zones that the readings of the list of targets named.
type listedZones struct {
	readAt time.Time
	// complete reports whether the newest reading named all zones that have targets. A list without
	// any target is more likely a failure of its writer, and a damaged entry may hide a zone.
	complete bool
	namedAt  map[fleet.Zone]time.Time
}

// update records a reading of the list.
func (z *listedZones) update(readAt time.Time, listing fleet.TargetListing) {
	if z.namedAt == nil {
		z.namedAt = make(map[fleet.Zone]time.Time)
	}
	for _, target := range listing.Targets {
		z.namedAt[target.Zone] = readAt
	}
	memory := zoneMemory
	if len(z.namedAt) > maxRememberedZones {
		memory = 0
	}
	for zone, namedAt := range z.namedAt {
		if readAt.Sub(namedAt) > memory {
			delete(z.namedAt, zone)
		}
	}
	z.readAt = readAt
	z.complete = len(listing.Targets) > 0 && len(listing.Damaged) == 0
}

// check returns what the readings show about a zone.
func (z *listedZones) check(now time.Time, zone fleet.Zone) zoneCheck {
	switch _, named := z.namedAt[zone]; {
	case named:
		return zoneNamed
	case z.complete && now.Sub(z.readAt) <= zoneListTTL:
		return zoneUnnamed
	default:
		return zoneUnchecked
	}
}

// checkZone looks for a zone in the settings, the configuration in force and, if the keepers read
// one, the list of targets.
func (c *core) checkZone(now time.Time, zone fleet.Zone) zoneCheck {
	config, _ := c.store.Config()
	inZone := func(target fleet.Target) bool { return target.Zone == zone }
	if slices.Contains(c.zones, zone) || slices.ContainsFunc(config.Targets, inZone) {
		return zoneNamed
	}
	check := c.listedZones.check(now, zone)
	if check == zoneUnchecked && !c.readsTargetList {
		return zoneUnnamed
	}
	return check
}

// unconfirmedZones returns the evacuated zones that are not known to exist.
func (c *core) unconfirmedZones(now time.Time) []fleet.Zone {
	var zones []fleet.Zone
	for _, zone := range c.store.EvacuatedZones().Zones {
		if c.checkZone(now, zone) != zoneNamed {
			zones = append(zones, zone)
		}
	}
	return zones
}

// logUnconfirmedZones warns of evacuated zones that a complete list does not name, whenever these
// change.
func (c *core) logUnconfirmedZones(now time.Time) {
	if !c.listedZones.complete {
		return
	}
	zones := c.unconfirmedZones(now)
	if slices.Equal(zones, c.loggedUnconfirmed) {
		return
	}
	c.loggedUnconfirmed = zones
	c.log.Warn("evacuated zones without targets changed", "zones", zones)
}
