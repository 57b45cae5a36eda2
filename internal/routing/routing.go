// Package routing joins a gateway with its talk to the keepers: the part of a
// router that serves routes.
package routing

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/gateway"
	"laburnumfall/internal/link"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/settings"
	"laburnumfall/internal/uplink"
)

// A Service serves the routes of one router. Set the exported fields, then call
// Run.
type Service struct {
	Settings settings.Router
	// Listen is where callers of routes come in.
	Listen  string
	Clock   clock.Clock
	Log     hclog.Logger
	Secret  link.Secret
	Dialect gateway.Dialect
	// Decode reads a configuration as the keepers keep it.
	Decode func(text []byte) (*fleet.Table, error)
	// List is the platform's list of targets; nil where configurations list them.
	List   uplink.TargetList
	Meters *gateway.Meters

	gateway gateway.Gateway
	uplink  uplink.Uplink
}

// DecodeConfig reads a configuration of the product's own form.
func DecodeConfig(text []byte) (*fleet.Table, error) {
	var c fleet.Config
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, fmt.Errorf("read the configuration: %w", err)
	}
	return c.Table()
}

// SetSeeds names the keepers that the settings tell of. It may be called at any
// time.
func (s *Service) SetSeeds(addresses []string) {
	s.uplink.SetSeeds(addresses)
}

// Ready reports whether callers are served.
func (s *Service) Ready() bool {
	return s.gateway.Ready()
}

// Run serves until ctx ends and what is in progress is done. The talk with the
// keepers goes on until then: requests still need the lease on keys.
func (s *Service) Run(ctx context.Context) error {
	s.assemble()
	talk, endTalk := context.WithCancel(context.WithoutCancel(ctx))
	defer endTalk()
	group, talk := errgroup.WithContext(talk)
	group.Go(func() error { return s.uplink.Run(talk) })
	group.Go(func() error {
		defer endTalk()
		return s.gateway.Run(ctx)
	})
	return group.Wait()
}

func (s *Service) assemble() {
	g, u := &s.gateway, &s.uplink
	g.Settings, g.Name, g.Zone, g.Listen = *s.Settings.Routes, s.Settings.Name, s.Settings.Zone, s.Listen
	g.Clock, g.Log, g.Dialect, g.Meters, g.State = s.Clock, s.Log, s.Dialect, s.Meters, u.State
	g.Informed = u.Informed
	u.Name, u.Zone, u.Inc = s.Settings.Name, s.Settings.Zone, uint64(s.Clock.Now().UnixNano())
	u.Clock, u.Log, u.Secret, u.Lease = s.Clock, s.Log, s.Secret, s.Settings.Routes.Lease
	u.Decode, u.List, u.Reads = s.Decode, s.List, s.Settings.Routes.Reads
	u.Changed, u.Load, u.Heard = g.SetTargets, g.Load, g.Heard
	wake := make(chan struct{}, 1)
	g.Wake, u.Wake = wake, wake
	u.Quarantine, u.Ruled = g.Quarantine, g.Ruled
	u.Found, u.Absent = g.Absent, g.SetAbsent
	u.Warming, u.Seat, u.Held = g.SetWarming, g.LeaseSeat, g.Seat
	// Targets that configurations list keep their names, and nobody tells their starts.
	g.Guard = quarantine.Guard{Owner: message.Owner(u.Name, u.Inc), Named: s.List == nil}
	s.Meters.AddCounter("lf_list_damaged_total", "Damaged entries in this router's own readings of the list of targets.",
		func() float64 { return float64(u.Damaged()) })
}
