package standin

import "encoding/json"

// damage is what a Site's list holds that no sound platform writes.
type damage struct {
	entries []string
	body    string
}

// DamagedEntries are entries of a list that name no target to use: fields that are
// missing or of another type, a state or service that nobody knows, and bytes that
// are no text.
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

// Damage lets the list hold these entries, each a JSON text, before those of its
// targets. None takes them away again.
func (s *Platform) SetDamagedEntries(entries ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.damage.entries = entries
}

// Garble answers readers of the list by these bytes; "" ends that.
func (s *Platform) SetListBody(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.damage.body = body
}

// ShowAs lets the list show a JSON text in place of the target's entry; "" ends that.
func (t *PlatformTarget) SetListEntry(entry string) {
	t.site.mu.Lock()
	defer t.site.mu.Unlock()
	t.shown = entry
}

// siteEntry is a target's entry on the list.
type siteEntry struct {
	ID      string `json:"id"`
	Born    int64  `json:"born"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

func (t *PlatformTarget) entry() string {
	if t.shown != "" {
		return t.shown
	}
	e := siteEntry{ID: t.ID, Born: t.StartMillis, Service: t.Pool, Address: t.Address, Zone: t.Zone, Slots: t.Slots, State: "ready"}
	if t.draining.Load() {
		e.State = "draining"
	}
	text, err := json.Marshal(e)
	if err != nil {
		panic(err) // it holds strings and numbers only
	}
	return string(text)
}

// entries returns the list, as JSON texts.
func (s *Platform) entries() []string {
	list := append([]string(nil), s.damage.entries...)
	for _, t := range s.targets {
		list = append(list, t.entry())
	}
	return list
}
