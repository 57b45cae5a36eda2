// Package statestore is the replicated state machine of the keepers. It holds the active
// configurations, their history, the claims of non-idempotent requests, the quarantine and the
// evacuated zones. The state changes only by commands from the keepers' log, so that every keeper
// computes the same state.
package statestore

import (
	"encoding/json"
	"fmt"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quarantine"
)

// MaxHistoryLength is the number of accepted configurations that the history keeps.
const MaxHistoryLength = 1000

// A Command is one change of the state. Besides ProposedAt, only the fields of the parts that it
// changes are set.
type Command struct {
	// ProposedAt is the proposing leader's time. The store's time never decreases, even if the clock
	// of a new leader is behind.
	ProposedAt   time.Time            `json:"at"`
	ConfigUpdate *ConfigUpdate        `json:"apply,omitempty"`
	Claims       []message.Claim      `json:"claims,omitempty"`
	Settlements  []message.Settlement `json:"settlements,omitempty"`
	RouteConfig  *RouteConfig         `json:"document,omitempty"`
	Quarantine   []quarantine.Entry   `json:"quarantine,omitempty"`
	Evacuation   *EvacuationChange    `json:"evacuation,omitempty"`
}

// An EvacuationChange starts the evacuation of an availability zone or, with End, ends it.
type EvacuationChange struct {
	Zone fleet.Zone `json:"zone"`
	End  bool       `json:"end,omitempty"`
}

// A RouteConfig is a configuration of routes. Text is the operator's text, compressed, and is
// returned byte for byte. The configuration with the highest number is active.
type RouteConfig struct {
	Number uint64 `json:"number"`
	Text   []byte `json:"text"`
}

// A ConfigUpdate activates a configuration.
type ConfigUpdate struct {
	Config   json.RawMessage `json:"config"`
	Operator string          `json:"operator"`
}

// Encode returns the command as it is stored in the log.
func (c Command) Encode() json.RawMessage {
	data, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("a command of plain fields cannot be encoded: %v", err))
	}
	return data
}

// A Result is the outcome of a command: of its ConfigUpdate, if it has one, and of each of its Claims.
type Result struct {
	ApplyResult  *message.ApplyResult
	ClaimResults []message.ClaimResult
}

// A Store is the replicated state. The zero value is the state before any command. It is not safe for
// concurrent use.
type Store struct {
	// ClaimLimit is the maximum number of claims; 0 means DefaultClaimLimit. It must be the same on
	// every keeper.
	ClaimLimit int

	latestTime    time.Time
	config        fleet.Config
	configJSON    json.RawMessage
	configDigest  string
	configHistory []message.ConfigChange
	claims        claimTable

	routeConfig    RouteConfig
	quarantine     quarantine.EntryStore
	evacuatedZones fleet.EvacuatedZones
}

// Config returns the active configuration, parsed and as JSON.
func (s *Store) Config() (fleet.Config, json.RawMessage) {
	return s.config, s.configJSON
}

// ConfigNumber returns the number of the active configuration, or 0 if there is none.
func (s *Store) ConfigNumber() uint64 {
	return s.config.Number
}

// ConfigDigest returns the digest of the active configuration.
func (s *Store) ConfigDigest() string {
	return s.configDigest
}

// ConfigHistory returns the accepted configurations, oldest first.
func (s *Store) ConfigHistory() []message.ConfigChange {
	return s.configHistory
}

// ClaimCount returns the number of stored claims.
func (s *Store) ClaimCount() int {
	return s.claims.count()
}

// RouteConfig returns the active configuration of routes. Its number is 0 if there is none.
func (s *Store) RouteConfig() RouteConfig {
	return s.routeConfig
}

// Quarantine returns the requests that are quarantined because targets ended while running them.
func (s *Store) Quarantine() *quarantine.EntryStore {
	return &s.quarantine
}

// EvacuatedZones returns the evacuated availability zones and their revision.
func (s *Store) EvacuatedZones() fleet.EvacuatedZones {
	return s.evacuatedZones
}

// ApplyCommand applies an encoded command from the log. It returns an error if the command or its
// configuration cannot be decoded.
func (s *Store) ApplyCommand(data json.RawMessage) (Result, error) {
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return Result{}, fmt.Errorf("decode a command: %w", err)
	}
	if command.ProposedAt.After(s.latestTime) {
		s.latestTime = command.ProposedAt
	}
	s.claims.expire(s.latestTime)
	var result Result
	if command.ConfigUpdate != nil {
		applied, err := s.applyConfig(*command.ConfigUpdate)
		if err != nil {
			return Result{}, err
		}
		result.ApplyResult = &applied
	}
	if command.RouteConfig != nil && command.RouteConfig.Number > s.routeConfig.Number {
		// A lower number is out of date, and the same number is a repeated request: both change
		// nothing.
		s.routeConfig = *command.RouteConfig
	}
	if len(command.Quarantine) > 0 {
		s.quarantine.Put(command.Quarantine)
	}
	if change := command.Evacuation; change != nil && change.End {
		s.evacuatedZones = s.evacuatedZones.Without(change.Zone)
	} else if change != nil {
		s.evacuatedZones = s.evacuatedZones.With(change.Zone)
	}
	for _, claim := range command.Claims {
		result.ClaimResults = append(result.ClaimResults, s.claims.claim(claim, s.latestTime, s.claimLimit()))
	}
	for _, settlement := range command.Settlements {
		s.claims.settle(settlement, s.latestTime)
	}
	return result, nil
}

func (s *Store) claimLimit() int {
	if s.ClaimLimit > 0 {
		return s.ClaimLimit
	}
	return DefaultClaimLimit
}

// applyConfig activates a configuration if its number is higher than that of the active one. The same
// number with the same content is a repeated request.
func (s *Store) applyConfig(update ConfigUpdate) (message.ApplyResult, error) {
	var config fleet.Config
	if err := json.Unmarshal(update.Config, &config); err != nil {
		return message.ApplyResult{}, fmt.Errorf("decode a configuration: %w", err)
	}
	digest := config.Digest()
	if config.Number <= s.config.Number {
		return s.resultForOldNumber(config.Number, digest), nil
	}
	s.config, s.configJSON, s.configDigest = config, update.Config, digest
	s.configHistory = append(s.configHistory, message.ConfigChange{Number: config.Number, Digest: digest, Operator: update.Operator, Accepted: s.latestTime})
	if len(s.configHistory) > MaxHistoryLength {
		s.configHistory = append([]message.ConfigChange(nil), s.configHistory[len(s.configHistory)-MaxHistoryLength:]...)
	}
	return message.ApplyResult{Number: config.Number, Digest: digest}, nil
}

// resultForOldNumber returns the result for a number that is not higher than that of the active
// configuration. An update counts as accepted if one with the same number and content was accepted
// before, even if a later one has replaced it since; otherwise it is a conflict.
func (s *Store) resultForOldNumber(number uint64, digest string) message.ApplyResult {
	for i := len(s.configHistory) - 1; i >= 0; i-- {
		if accepted := s.configHistory[i]; accepted.Number == number && accepted.Digest == digest {
			result := message.ApplyResult{Number: number, Digest: digest}
			if number != s.config.Number {
				result.NewerNumber = s.config.Number
			}
			return result
		}
	}
	return message.ApplyResult{Number: s.config.Number, Digest: s.configDigest, Conflict: true}
}

// storeSnapshot is the encoded form of a Store.
type storeSnapshot struct {
	Time    time.Time              `json:"at"`
	Config  json.RawMessage        `json:"config,omitempty"`
	History []message.ConfigChange `json:"history,omitempty"`
	Claims  []savedGeneration      `json:"claims,omitempty"`

	RouteConfig    RouteConfig              `json:"document,omitzero"`
	Quarantine     quarantine.EntrySnapshot `json:"quarantine,omitzero"`
	EvacuatedZones fleet.EvacuatedZones     `json:"evacuations,omitzero"`
}

// Snapshot returns the encoded state.
func (s *Store) Snapshot() (json.RawMessage, error) {
	data, err := json.Marshal(storeSnapshot{
		Time: s.latestTime, Config: s.configJSON, History: s.configHistory, Claims: s.claims.save(),
		RouteConfig: s.routeConfig, Quarantine: s.quarantine.Snapshot(), EvacuatedZones: s.evacuatedZones,
	})
	if err != nil {
		return nil, fmt.Errorf("encode a snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state by a snapshot. If the snapshot cannot be decoded, it returns an error and
// changes nothing.
func (s *Store) Restore(data json.RawMessage) error {
	var saved storeSnapshot
	if err := json.Unmarshal(data, &saved); err != nil {
		return fmt.Errorf("decode a snapshot: %w", err)
	}
	restored := Store{ClaimLimit: s.ClaimLimit, latestTime: saved.Time, configJSON: saved.Config, configHistory: saved.History, routeConfig: saved.RouteConfig, evacuatedZones: saved.EvacuatedZones}
	if len(saved.Config) > 0 {
		if err := json.Unmarshal(saved.Config, &restored.config); err != nil {
			return fmt.Errorf("decode the configuration of a snapshot: %w", err)
		}
		restored.configDigest = restored.config.Digest()
	}
	if err := restored.claims.load(saved.Claims); err != nil {
		return err
	}
	restored.quarantine.Restore(saved.Quarantine)
	*s = restored
	return nil
}
