// Package statestore is the durable state of the fleet: the configuration in
// force, its history, and the claims of non-repeatable requests. It changes
// only by commands from the keepers' log, so that every keeper computes the
// same state from the same commands.
package statestore

import (
	"encoding/json"
	"fmt"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quarantine"
)

// HistoryLength is how many accepted configurations the history lists.
const HistoryLength = 1000

// A Command is one change of the ledger. One of its fields is set.
type Command struct {
	// At is the time of the leader that proposed the command. The ledger's
	// own time never goes back, whatever the leaders' clocks say.
	At          time.Time            `json:"at"`
	Apply       *Apply               `json:"apply,omitempty"`
	Claims      []message.Claim      `json:"claims,omitempty"`
	Settlements []message.Settlement `json:"settlements,omitempty"`
	Document    *Document            `json:"document,omitempty"`
	Quarantine  []quarantine.Entry   `json:"quarantine,omitempty"`
	Evacuation  *Evacuation          `json:"evacuation,omitempty"`
}

// An Evacuation begins or ends the evacuation of an availability zone.
type Evacuation struct {
	Zone fleet.Zone `json:"zone"`
	End  bool       `json:"end,omitempty"`
}

// A Document is a configuration of routes in the operator's own bytes, packed,
// which are given back as they came. The highest number is in force.
type Document struct {
	Number uint64 `json:"number"`
	Text   []byte `json:"text"`
}

// An Apply puts a configuration in force.
type Apply struct {
	Config   json.RawMessage `json:"config"`
	Operator string          `json:"operator"`
}

// Encode returns the command in the form that the log holds.
func (c Command) Encode() json.RawMessage {
	data, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("a command holds only plain fields: %v", err))
	}
	return data
}

// A Result is what a command brought about.
type Result struct {
	Applied  *message.ApplyResult
	Verdicts []message.ClaimResult
}

// A Store is the state. Its zero value is the state before any command. It is
// used by one goroutine.
type Store struct {
	// Limit bounds the claims kept; 0 means DefaultLimit. It must be the same
	// on every keeper.
	Limit int

	at      time.Time
	config  fleet.Config
	text    json.RawMessage
	digest  string
	history []message.ConfigChange
	claims  claimTable

	document    Document
	quarantine  quarantine.EntryStore
	evacuations fleet.EvacuatedZones
}

// Config returns the configuration in force, in its parsed and stored forms.
func (l *Store) Config() (fleet.Config, json.RawMessage) {
	return l.config, l.text
}

// Number returns the number of the configuration in force, or 0.
func (l *Store) Number() uint64 {
	return l.config.Number
}

// Digest returns the digest of the configuration in force.
func (l *Store) Digest() string {
	return l.digest
}

// History returns the accepted configurations, the oldest first.
func (l *Store) History() []message.ConfigChange {
	return l.history
}

// Claims returns the number of claims kept.
func (l *Store) Claims() int {
	return l.claims.len()
}

// Document returns the configuration of routes in force; its number is 0 before
// any.
func (l *Store) Document() Document {
	return l.document
}

// Quarantine returns the requests under which targets have ended.
func (l *Store) Quarantine() *quarantine.EntryStore {
	return &l.quarantine
}

// Evacuations returns the availability zones that are evacuated.
func (l *Store) Evacuations() fleet.EvacuatedZones {
	return l.evacuations
}

// Do carries out a command from the log.
func (l *Store) Do(data json.RawMessage) (Result, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return Result{}, fmt.Errorf("decode a command: %w", err)
	}
	if c.At.After(l.at) {
		l.at = c.At
	}
	l.claims.expire(l.at)
	var r Result
	if c.Apply != nil {
		applied, err := l.apply(*c.Apply)
		if err != nil {
			return Result{}, err
		}
		r.Applied = &applied
	}
	if c.Document != nil && c.Document.Number > l.document.Number {
		// A lower number, or the same one, changes nothing: it was overtaken, or
		// it is the same order sent again.
		l.document = *c.Document
	}
	if len(c.Quarantine) > 0 {
		l.quarantine.Put(c.Quarantine)
	}
	if e := c.Evacuation; e != nil && e.End {
		l.evacuations = l.evacuations.Without(e.Zone)
	} else if e != nil {
		l.evacuations = l.evacuations.With(e.Zone)
	}
	for _, claim := range c.Claims {
		r.Verdicts = append(r.Verdicts, l.claims.claim(claim, l.at, l.limit()))
	}
	for _, s := range c.Settlements {
		l.claims.settle(s, l.at)
	}
	return r, nil
}

func (l *Store) limit() int {
	if l.Limit > 0 {
		return l.Limit
	}
	return DefaultLimit
}

// apply puts a configuration in force if its number is above the present one.
// The same number with the same content is the same request sent again.
func (l *Store) apply(a Apply) (message.ApplyResult, error) {
	var c fleet.Config
	if err := json.Unmarshal(a.Config, &c); err != nil {
		return message.ApplyResult{}, fmt.Errorf("decode a configuration: %w", err)
	}
	digest := c.Digest()
	if c.Number <= l.config.Number {
		return l.answerOld(c.Number, digest), nil
	}
	l.config, l.text, l.digest = c, a.Config, digest
	l.history = append(l.history, message.ConfigChange{Number: c.Number, Digest: digest, Operator: a.Operator, Accepted: l.at})
	if len(l.history) > HistoryLength {
		l.history = append([]message.ConfigChange(nil), l.history[len(l.history)-HistoryLength:]...)
	}
	return message.ApplyResult{Number: c.Number, Digest: digest}, nil
}

// answerOld answers for a number that is not above the present one. One that
// was accepted with the same content counts as accepted, even if a later one
// has replaced it since.
func (l *Store) answerOld(number uint64, digest string) message.ApplyResult {
	for i := len(l.history) - 1; i >= 0; i-- {
		if h := l.history[i]; h.Number == number && h.Digest == digest {
			applied := message.ApplyResult{Number: number, Digest: digest}
			if number != l.config.Number {
				applied.NewerNumber = l.config.Number
			}
			return applied
		}
	}
	return message.ApplyResult{Number: l.config.Number, Digest: l.digest, Conflict: true}
}

// snapshot is the stored form of a Store.
type snapshot struct {
	At      time.Time              `json:"at"`
	Config  json.RawMessage        `json:"config,omitempty"`
	History []message.ConfigChange `json:"history,omitempty"`
	Claims  []savedClaims          `json:"claims,omitempty"`

	Document    Document                 `json:"document,omitzero"`
	Quarantine  quarantine.EntrySnapshot `json:"quarantine,omitzero"`
	Evacuations fleet.EvacuatedZones     `json:"evacuations,omitzero"`
}

// Snapshot returns the state in its stored form.
func (l *Store) Snapshot() (json.RawMessage, error) {
	data, err := json.Marshal(snapshot{
		At: l.at, Config: l.text, History: l.history, Claims: l.claims.save(),
		Document: l.document, Quarantine: l.quarantine.Snapshot(), Evacuations: l.evacuations,
	})
	if err != nil {
		return nil, fmt.Errorf("encode a snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state by a stored one.
func (l *Store) Restore(data json.RawMessage) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode a snapshot: %w", err)
	}
	fresh := Store{Limit: l.Limit, at: s.At, text: s.Config, history: s.History, document: s.Document, evacuations: s.Evacuations}
	if len(s.Config) > 0 {
		if err := json.Unmarshal(s.Config, &fresh.config); err != nil {
			return fmt.Errorf("decode the configuration of a snapshot: %w", err)
		}
		fresh.digest = fresh.config.Digest()
	}
	if err := fresh.claims.load(s.Claims); err != nil {
		return err
	}
	fresh.quarantine.Restore(s.Quarantine)
	*l = fresh
	return nil
}
