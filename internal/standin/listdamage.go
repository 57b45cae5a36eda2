package standin

import "encoding/json"

// listDamage replaces parts of the list of targets by content that an intact platform never
// returns.
type listDamage struct {
	entries   []string
	wholeBody string
}

// DamagedEntries are list entries that do not describe a usable target: with fields that are
// missing or of the wrong type, with an unknown state or service, or with bytes that are not
// valid text.
var DamagedEntries = []string{
	`{"id":7,"service":"plain","address":"127.0.0.1:1","zone":"z1","slots":4,"state":"ready","born":1}`,
	`{"id":"d-1","service":"plain","address":"127.0.0.1:1","zone":"z1","slots":"many","state":"ready","born":1}`,
	`{"id":"d-2","service":"plain","address":"127.0.0.1:1","zone":"z1","slots":4,"state":"ready","born":1.5}`,
	`{"id":"d-3"}`,
	`{"id":"d-4","service":"plain","address":"nowhere","zone":"z1","slots":4,"state":"ready","born":1}`,
	`{"id":"d-5","service":"plain","address":"127.0.0.1:1","zone":"z1","slots":4,"state":"asleep","born":1}`,
	`{"id":"d-6","service":"unheard","address":"127.0.0.1:1","zone":"z1","slots":4,"state":"ready","born":1}`,
	"\"\xff\xfe\"",
	`42`,
	`null`,
	`[]`,
}

// SetDamagedEntries makes the list begin with these JSON texts, before the entries of its
// targets. Without arguments it removes them.
func (p *Platform) SetDamagedEntries(entries ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.damage.entries = entries
}

// SetListBody replaces the response to every read of the list by these bytes; "" restores the list.
func (p *Platform) SetListBody(body string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.damage.wholeBody = body
}

// SetListEntry replaces the target's entry in the list by a JSON text; "" restores the entry.
func (t *PlatformTarget) SetListEntry(entry string) {
	t.platform.mu.Lock()
	defer t.platform.mu.Unlock()
	t.listEntry = entry
}

// SetVersion sets the version of the target's software, which the list states and the responses to
// streams show.
func (t *PlatformTarget) SetVersion(version string) {
	t.platform.mu.Lock()
	defer t.platform.mu.Unlock()
	t.version = version
}

// Version returns the version that SetVersion set.
func (t *PlatformTarget) Version() string {
	t.platform.mu.Lock()
	defer t.platform.mu.Unlock()
	return t.version
}

// listEntryJSON is a target's entry in the list.
type listEntryJSON struct {
	ID          string `json:"id"`
	StartMillis int64  `json:"born"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Slots       int    `json:"slots"`
	State       string `json:"state"`
	Version     string `json:"version,omitempty"`
}

func (t *PlatformTarget) entryText() string {
	if t.listEntry != "" {
		return t.listEntry
	}
	entry := listEntryJSON{ID: t.ID, StartMillis: t.StartMillis, Service: t.Pool, Address: t.Address, Zone: t.Zone, Slots: t.Slots, State: "ready", Version: t.version}
	if t.draining.Load() {
		entry.State = "draining"
	}
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err) // cannot fail: the entry contains only strings and integers
	}
	return string(text)
}

// entryTexts returns the entries of the list as JSON texts.
func (p *Platform) entryTexts() []string {
	texts := append([]string(nil), p.damage.entries...)
	for _, target := range p.targets {
		texts = append(texts, target.entryText())
	}
	return texts
}
