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

// The bounds of the claims kept.
const (
	// Retention is how long a claim is kept at the least.
	Retention = 24 * time.Hour
	// DefaultLimit bounds the number of claims kept. Beyond it a claim is
	// refused: forgetting one early could let its request run twice.
	DefaultLimit = 4_000_000
	// generationSpan is how much time one generation of claims covers.
	generationSpan = Retention / 8
)

// KeyOf returns the name under which an account's key is claimed.
func KeyOf(account, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return base64.RawURLEncoding.EncodeToString(sum[:keySize])
}

const (
	keySize = 16
	// recordSize is the stored size of a claim: key, owner, attempt, fate.
	recordSize = keySize + 8 + 8 + 1
)

type claimKey [keySize]byte

// A claimRecord is what is kept of a claim. The owner is kept as a hash.
type claimRecord struct {
	owner   uint64
	attempt uint64
	fate    fateCode
}

type fateCode uint8

const (
	codeRunning fateCode = iota
	codeRan
	codeUnrun
	codeUnknown
)

var fates = [...]message.RunState{
	codeRunning: message.RunStateRunning,
	codeRan:     message.RunStateRan,
	codeUnrun:   message.RunStateNotRun,
	codeUnknown: message.RunStateUnknown,
}

func codeOf(f message.RunState) fateCode {
	for c, fate := range fates {
		if fate == f {
			return fateCode(c)
		}
	}
	return codeUnknown
}

// A claimTable keeps claims in generations by their time, so that the old ones
// are dropped a generation at a time and nothing is scanned.
type claimTable struct {
	generations []generation // the oldest first
	size        int
}

type generation struct {
	start   time.Time
	records map[claimKey]claimRecord
}

func (t *claimTable) len() int {
	return t.size
}

// expire drops the generations in which every claim is older than Retention.
func (t *claimTable) expire(now time.Time) {
	for len(t.generations) > 0 {
		g := t.generations[0]
		if now.Before(g.start.Add(generationSpan + Retention)) {
			return
		}
		t.size -= len(g.records)
		t.generations = t.generations[1:]
	}
}

// claim records a claim unless the key is taken. A claim sent again gets the
// answer that it got before. An attempt that its owner has given up is never
// granted, even if its claim arrives after its release.
func (t *claimTable) claim(c message.Claim, now time.Time, limit int) message.ClaimResult {
	key := parseKey(c.Key)
	mine := claimRecord{owner: HashOwner(c.Owner), attempt: c.Attempt}
	g, found := t.find(key)
	if found {
		old := g.records[key]
		same := old.owner == mine.owner && old.attempt == mine.attempt
		switch {
		case same && old.fate == codeRunning:
			return message.ClaimResult{Granted: true}
		case old.fate != codeUnrun || same:
			return message.ClaimResult{State: fates[old.fate], Owner: old.owner}
		}
		// A claim after a released one starts its retention anew.
		delete(g.records, key)
		t.size--
	}
	if t.size >= limit {
		return message.ClaimResult{ClaimsFull: true}
	}
	t.put(key, mine, now)
	return message.ClaimResult{Granted: true}
}

// settle records the fate of a claim. Only its owner's attempt may; a release
// that overtakes its claim is kept, so that the claim finds it.
func (t *claimTable) settle(s message.Settlement, now time.Time) {
	key := parseKey(s.Key)
	mine := claimRecord{owner: HashOwner(s.Owner), attempt: s.Attempt, fate: codeOf(s.State)}
	g, found := t.find(key)
	if !found {
		if mine.fate == codeUnrun {
			t.put(key, mine, now)
		}
		return
	}
	old := g.records[key]
	if old.owner != mine.owner || old.attempt != mine.attempt || old.fate == codeRan {
		return
	}
	g.records[key] = mine
}

func (t *claimTable) find(key claimKey) (generation, bool) {
	for i := len(t.generations) - 1; i >= 0; i-- {
		if _, ok := t.generations[i].records[key]; ok {
			return t.generations[i], true
		}
	}
	return generation{}, false
}

func (t *claimTable) put(key claimKey, r claimRecord, now time.Time) {
	last := len(t.generations) - 1
	if last < 0 || !now.Before(t.generations[last].start.Add(generationSpan)) {
		t.generations = append(t.generations, generation{start: now, records: make(map[claimKey]claimRecord)})
		last++
	}
	t.generations[last].records[key] = r
	t.size++
}

// savedClaims is the stored form of a generation: records of recordSize bytes.
type savedClaims struct {
	Start   time.Time `json:"start"`
	Records []byte    `json:"records"`
}

func (t *claimTable) save() []savedClaims {
	saved := make([]savedClaims, 0, len(t.generations))
	for _, g := range t.generations {
		buf := make([]byte, 0, len(g.records)*recordSize)
		for key, r := range g.records {
			buf = append(buf, key[:]...)
			buf = binary.LittleEndian.AppendUint64(buf, r.owner)
			buf = binary.LittleEndian.AppendUint64(buf, r.attempt)
			buf = append(buf, byte(r.fate))
		}
		saved = append(saved, savedClaims{Start: g.start, Records: buf})
	}
	return saved
}

func (t *claimTable) load(saved []savedClaims) error {
	for _, s := range saved {
		if len(s.Records)%recordSize != 0 {
			return fmt.Errorf("a snapshot's claims of %s have %d bytes", s.Start, len(s.Records))
		}
		g := generation{start: s.Start, records: make(map[claimKey]claimRecord, len(s.Records)/recordSize)}
		for b := s.Records; len(b) > 0; b = b[recordSize:] {
			rest := b[keySize:]
			g.records[claimKey(b[:keySize])] = claimRecord{
				owner:   binary.LittleEndian.Uint64(rest),
				attempt: binary.LittleEndian.Uint64(rest[8:]),
				fate:    fateCode(rest[16]),
			}
		}
		t.generations = append(t.generations, g)
		t.size += len(g.records)
	}
	return nil
}

// parseKey reads a claim's key. One of another form is hashed into shape.
func parseKey(key string) claimKey {
	raw, err := base64.RawURLEncoding.DecodeString(key)
	if err == nil && len(raw) == keySize {
		return claimKey(raw)
	}
	sum := sha256.Sum256([]byte(key))
	return claimKey(sum[:keySize])
}

// HashOwner returns the form in which a claim's owner is kept.
func HashOwner(owner string) uint64 {
	h := fnv.New64a()
	// A hash never fails to take bytes.
	_, _ = h.Write([]byte(owner))
	return h.Sum64()
}
