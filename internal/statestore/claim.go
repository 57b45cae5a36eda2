package statestore

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"time"

	"laburnumfall/internal/message"
)

// The limits of stored claims.
const (
	// ClaimRetention is the minimum time for which a claim is stored.
	ClaimRetention = 24 * time.Hour
	// DefaultClaimLimit is the default for the maximum number of claims. Further claims are refused:
	// dropping a claim early could let its request run twice.
	DefaultClaimLimit = 4_000_000
	// generationSpan is the time that one generation of claims covers.
	generationSpan = ClaimRetention / 8
)

// HashKey returns the key of the claim for an account's idempotency key: a hash of both.
func HashKey(account, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return base64.RawURLEncoding.EncodeToString(sum[:claimKeySize])
}

const (
	claimKeySize = 16
	// claimRecordSize is the encoded size of a claim: key, owner, attempt and run state.
	claimRecordSize = claimKeySize + 8 + 8 + 1
)

type claimKey [claimKeySize]byte

// A claimRecord is a stored claim. The owner is stored as a hash.
type claimRecord struct {
	owner   uint64
	attempt uint64
	state   runStateCode
}

// A runStateCode represents a message.RunState in a claimRecord and in snapshots.
type runStateCode uint8

const (
	codeRunning runStateCode = iota
	codeRan
	codeNotRun
	codeUnknown
)

var runStates = [...]message.RunState{
	codeRunning: message.RunStateRunning,
	codeRan:     message.RunStateRan,
	codeNotRun:  message.RunStateNotRun,
	codeUnknown: message.RunStateUnknown,
}

func codeOfRunState(state message.RunState) runStateCode {
	for code, known := range runStates {
		if known == state {
			return runStateCode(code)
		}
	}
	return codeUnknown
}

// A claimTable stores claims in generations by their time, so that expired claims are dropped one
// generation at a time without a scan.
type claimTable struct {
	generations []generation // oldest first
	claimCount  int
}

type generation struct {
	start   time.Time
	records map[claimKey]claimRecord
}

func (t *claimTable) count() int {
	return t.claimCount
}

// expire drops the generations in which every claim is older than ClaimRetention.
func (t *claimTable) expire(now time.Time) {
	for len(t.generations) > 0 {
		oldest := t.generations[0]
		if now.Before(oldest.start.Add(generationSpan + ClaimRetention)) {
			return
		}
		t.claimCount -= len(oldest.records)
		t.generations = t.generations[1:]
	}
}

// claim stores a claim unless the key is claimed already. A repeated claim gets the same result as
// before. An attempt that its owner has released is never granted, even if its claim arrives after
// its release.
func (t *claimTable) claim(request message.Claim, now time.Time, limit int) message.ClaimResult {
	key := parseKey(request.Key)
	record := claimRecord{owner: HashOwner(request.Owner), attempt: request.Attempt}
	gen, found := t.find(key)
	if found {
		existing := gen.records[key]
		sameAttempt := existing.owner == record.owner && existing.attempt == record.attempt
		switch {
		case sameAttempt && existing.state == codeRunning:
			return message.ClaimResult{Granted: true}
		case existing.state != codeNotRun || sameAttempt:
			return message.ClaimResult{State: runStates[existing.state], Owner: existing.owner}
		}
		// The retention of a claim that follows a released one starts again.
		delete(gen.records, key)
		t.claimCount--
	}
	if t.claimCount >= limit {
		return message.ClaimResult{ClaimsFull: true}
	}
	t.insert(key, record, now)
	return message.ClaimResult{Granted: true}
}

// settle stores the run state of a claim. Only the owner's attempt may settle it. A release that
// arrives before its claim is stored, so that the claim is refused when it arrives.
func (t *claimTable) settle(settlement message.Settlement, now time.Time) {
	key := parseKey(settlement.Key)
	record := claimRecord{owner: HashOwner(settlement.Owner), attempt: settlement.Attempt, state: codeOfRunState(settlement.State)}
	gen, found := t.find(key)
	if !found {
		if record.state == codeNotRun {
			t.insert(key, record, now)
		}
		return
	}
	existing := gen.records[key]
	if existing.owner != record.owner || existing.attempt != record.attempt || existing.state == codeRan {
		return
	}
	gen.records[key] = record
}

func (t *claimTable) find(key claimKey) (generation, bool) {
	for i := len(t.generations) - 1; i >= 0; i-- {
		if _, ok := t.generations[i].records[key]; ok {
			return t.generations[i], true
		}
	}
	return generation{}, false
}

func (t *claimTable) insert(key claimKey, record claimRecord, now time.Time) {
	last := len(t.generations) - 1
	if last < 0 || !now.Before(t.generations[last].start.Add(generationSpan)) {
		t.generations = append(t.generations, generation{start: now, records: make(map[claimKey]claimRecord)})
		last++
	}
	t.generations[last].records[key] = record
	t.claimCount++
}

// savedGeneration is the encoded form of a generation. Each record has claimRecordSize bytes.
type savedGeneration struct {
	Start   time.Time `json:"start"`
	Records []byte    `json:"records"`
}

func (t *claimTable) save() []savedGeneration {
	saved := make([]savedGeneration, 0, len(t.generations))
	for _, gen := range t.generations {
		records := make([]byte, 0, len(gen.records)*claimRecordSize)
		for key, record := range gen.records {
			records = append(records, key[:]...)
			records = binary.LittleEndian.AppendUint64(records, record.owner)
			records = binary.LittleEndian.AppendUint64(records, record.attempt)
			records = append(records, byte(record.state))
		}
		saved = append(saved, savedGeneration{Start: gen.start, Records: records})
	}
	return saved
}

func (t *claimTable) load(savedGenerations []savedGeneration) error {
	for _, saved := range savedGenerations {
		if len(saved.Records)%claimRecordSize != 0 {
			return fmt.Errorf("claims from %s in a snapshot have %d bytes, which is no multiple of the record size", saved.Start, len(saved.Records))
		}
		gen := generation{start: saved.Start, records: make(map[claimKey]claimRecord, len(saved.Records)/claimRecordSize)}
		for records := saved.Records; len(records) > 0; records = records[claimRecordSize:] {
			fields := records[claimKeySize:]
			if int(fields[16]) >= len(runStates) {
				return fmt.Errorf("a claim from %s in a snapshot has the unknown run state %d (restore the data folder from another keeper)", saved.Start, fields[16])
			}
			gen.records[claimKey(records[:claimKeySize])] = claimRecord{
				owner:   binary.LittleEndian.Uint64(fields),
				attempt: binary.LittleEndian.Uint64(fields[8:]),
				state:   runStateCode(fields[16]),
			}
		}
		t.generations = append(t.generations, gen)
		t.claimCount += len(gen.records)
	}
	return nil
}

// parseKey decodes the key of a claim. A key that is not the result of HashKey is hashed.
func parseKey(key string) claimKey {
	raw, err := base64.RawURLEncoding.DecodeString(key)
	if err == nil && len(raw) == claimKeySize {
		return claimKey(raw)
	}
	sum := sha256.Sum256([]byte(key))
	return claimKey(sum[:claimKeySize])
}

// HashOwner returns the hash under which the owner of a claim is stored.
func HashOwner(owner string) uint64 {
	hash := fnv.New64a()
	// Write of a hash never returns an error.
	_, _ = hash.Write([]byte(owner))
	return hash.Sum64()
}
