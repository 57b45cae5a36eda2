// Package routing runs a gateway together with its keeper client. It is the part of a router that
// serves routes.
package routing

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/clock"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/gateway"
	"laburnumfall/internal/keeperclient"
	"laburnumfall/internal/message"
	"laburnumfall/internal/origin"
	"laburnumfall/internal/peerlink"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/rpc"
	"laburnumfall/internal/settings"
	"laburnumfall/internal/waitlist"
)

// A Service serves the routes of one router. Set the exported fields, then call Run.
type Service struct {
	Settings settings.Router
	// Listen is the address for callers of routes.
	Listen  string
	Clock   clock.Clock
	Log     hclog.Logger
	Secret  rpc.Secret
	Dialect gateway.Dialect
	// Decode parses a configuration in the form that the keepers store.
	Decode func(text []byte) (*fleet.RoutingTable, error)
	// List is the platform's list of targets; nil if configurations list the targets.
	List   keeperclient.TargetList
	Meters *gateway.Metrics
	// Backpressure is shared with the other parts of the router that send to the same targets; if it
	// is nil, the service has its own.
	Backpressure *backpressure.Tracker

	gateway gateway.Gateway
	client  keeperclient.Client
	link    peerlink.Link
	origins origin.Service
	places  waitlist.Service
}

// DecodeConfig parses a configuration in the project's own format.
func DecodeConfig(text []byte) (*fleet.RoutingTable, error) {
	var config fleet.Config
	if err := json.Unmarshal(text, &config); err != nil {
		return nil, fmt.Errorf("parse the configuration: %w", err)
	}
	return config.RoutingTable()
}

// SetSeeds sets the addresses of the keepers that the settings name. It may be called at any
// time.
func (s *Service) SetSeeds(addresses []string) {
	s.client.SetSeeds(addresses)
}

// Ready reports whether callers are served.
func (s *Service) Ready() bool {
	return s.gateway.Ready()
}

// Run serves until ctx ends and the requests in progress are done. The keeper client runs until
// then as well, because these requests still need the key lease.
func (s *Service) Run(ctx context.Context) error {
	s.assemble()
	clientCtx, stopClient := context.WithCancel(context.WithoutCancel(ctx))
	defer stopClient()
	group, clientCtx := errgroup.WithContext(clientCtx)
	group.Go(func() error { return s.client.Run(clientCtx) })
	if s.Settings.PeerListen != "" {
		group.Go(func() error {
			// Without other routers, this one still serves all streams but those that callers of
			// others resume here.
			if err := s.link.Run(clientCtx); err != nil {
				s.Log.Error("no exchange with other routers: going on without", "error", err)
			}
			return nil
		})
	}
	group.Go(func() error {
		defer stopClient()
		return s.gateway.Run(ctx)
	})
	return group.Wait()
}

func (s *Service) assemble() {
	gw, client := &s.gateway, &s.client
	gw.Settings, gw.Name, gw.Zone, gw.Listen = *s.Settings.Routing, s.Settings.Name, s.Settings.Zone, s.Listen
	gw.Clock, gw.Log, gw.Dialect, gw.Metrics, gw.State = s.Clock, s.Log, s.Dialect, s.Meters, client.State
	gw.StateIsFresh = client.StateIsFresh
	client.Name, client.Zone, client.Incarnation = s.Settings.Name, s.Settings.Zone, uint64(s.Clock.Now().UnixNano())
	client.Clock, client.Log, client.Secret, client.KeyLease = s.Clock, s.Log, s.Secret, s.Settings.Routing.KeyLease
	client.ConfigLease = s.Settings.Routing.ConfigLease
	client.Decode, client.List, client.ReadRate = s.Decode, s.List, s.Settings.Routing.ListReadRate
	client.OnChange, client.Load, client.OnFleetLoad = gw.SetTargets, gw.Load, gw.SetFleetLoad
	client.PaceNews, client.OnPaces = gw.PaceNews, gw.SetPaces
	pollLeader := make(chan struct{}, 1)
	gw.PollLeader, client.PollNow = pollLeader, pollLeader
	client.QuarantineReport, client.OnRestrictions = gw.QuarantineReport, gw.ApplyRestrictions
	client.OnColdTargets, client.OnWarmupLease, client.WarmupLease = gw.SetColdUntil, gw.SetWarmupLease, gw.WarmupLease
	s.link.Listen, s.link.Clock, s.link.Log, s.link.Secret = s.Settings.PeerListen, s.Clock, s.Log, s.Secret
	s.origins.Clock, s.origins.Link = s.Clock, &s.link
	s.places.Clock, s.places.Link = s.Clock, &s.link
	s.link.Handlers = s.origins.Handlers()
	maps.Copy(s.link.Handlers, s.places.Handlers())
	client.KeptReport, client.OnKept = gw.KeptReport, gw.ApplyKept
	gw.Origins = &s.origins
	if client.PeerAddress = s.Settings.PeerListen; client.PeerAddress != "" {
		gw.Places = &s.places
		client.OnPeers = func(peers map[fleet.Zone][]string) {
			s.origins.SetPeers(peers)
			s.places.SetPeers(peers)
		}
	}
	// Targets of a configuration keep their names after a restart, and their start times are not
	// reported.
	idsReused := s.List == nil
	gw.Guard = quarantine.Guard{Owner: message.ClaimOwner(client.Name, client.Incarnation), IDsReused: idsReused}
	if gw.Backpressure = s.Backpressure; gw.Backpressure == nil {
		gw.Backpressure = &backpressure.Tracker{ByAddress: idsReused}
	}
	s.Meters.AddCounter("lf_list_damaged_total", "Damaged entries in this router's own readings of the list of targets.",
		func() float64 { return float64(client.DamagedEntries()) })
}
