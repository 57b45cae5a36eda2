package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/standin"
)

// truncation makes targets break off streams inside an event.
type truncation struct {
	mu        sync.Mutex
	truncates map[*standin.PlatformTarget]bool
	count     int
}

// truncationFramings are the ways in which a target ends the response that it breaks off, in turn.
var truncationFramings = []standin.FramedResponse{
	{Framing: fleet.FramingClose},
	{Framing: fleet.FramingChunked},
	{Framing: fleet.FramingLength},
	{Framing: fleet.FramingClose, Reset: true},
	{Framing: fleet.FramingChunked, Reset: true},
}

// truncationRests are what a target sends of an event that it does not complete, in turn.
var truncationRests = []string{"i", "id: 3", "id: 3\n", "id: 3\ndata: pie", "id: 3\ndata: piece 3\n", "id: 3\r\ndata: piece 3\r\n", ""}

// next returns the next response to break off. It reports false for a target that breaks off no streams.
func (b *truncation) next(target *standin.PlatformTarget) (standin.FramedResponse, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.truncates[target] {
		return standin.FramedResponse{}, false
	}
	response := truncationFramings[b.count%len(truncationFramings)]
	rest := truncationRests[b.count%len(truncationRests)]
	if rest == "" {
		// Between two events, only the framing shows the end: the proxy passes on a reset as a close.
		response = standin.FramedResponse{Framing: fleet.FramingChunked, Reset: true}
	}
	b.count++
	response.Body = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n" + rest
	return response, true
}

func (b *truncation) set(target *standin.PlatformTarget, truncates bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.truncates == nil {
		b.truncates = make(map[*standin.PlatformTarget]bool)
	}
	b.truncates[target] = truncates
}

// breakOff answers a stream with one that is broken off, if the target does so at present.
func (d *driver) breakOff(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
	response, ok := d.truncation.next(target)
	if !ok {
		return false
	}
	target.RecordRun(r)
	target.WriteHeaders(w, r)
	if r.URL.Path == lettersPath {
		response.Body = lettersBody(response.Body, target.Version())
	}
	response.Header = w.Header().Clone()
	response.Header.Set("Content-Type", "text/event-stream")
	time.Sleep(streamEventInterval)
	_ = response.WriteTo(w) // the router may have closed the connection
	return true
}

// lettersBody returns the body of a stream whose events name a version, instead of their number.
func lettersBody(body, version string) string {
	for i := range standin.StreamEvents {
		body = strings.ReplaceAll(body, fmt.Sprintf("data: piece %d", i+1), "data: "+version)
	}
	return body
}

// applyTruncation makes a target break off its streams for the event's duration. Callers may see them cut,
// but never complete.
func (d *driver) applyTruncation(ev event) {
	d.mu.Lock()
	target := d.liveTargets[len(d.liveTargets)-1-ev.Victim]
	d.mu.Unlock()
	start := time.Now()
	d.truncation.set(target, true)
	time.Sleep(time.Duration(ev.Duration))
	d.truncation.set(target, false)
	d.history.recordCutSpan(anyRouter, span{start, time.Now().Add(recoveryTime)})
}

// breakOffStreams makes a target break off streams, regardless of other faults.
func (g *generator) breakOffStreams() {
	g.addEvent(g.at, kindTarget, g.IntN(g.Size.Targets), actionTruncate, "", g.randomDuration(500, 4000))
}
