package router_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/standin"
)

// Guards against a stream of an event that was broken off inside an event and reaches its caller as
// complete.
func TestBrokenOffEventStreamIsNotComplete(t *testing.T) {
	const wholeEvents = "id: 1\ndata: piece 1\n\n"
	var targets []fleet.Target
	var names []string
	for _, framing := range []fleet.Framing{fleet.FramingClose, fleet.FramingChunked, fleet.FramingLength} {
		for _, reset := range []bool{false, true} {
			for _, partial := range []string{"i", "id: 2", "id: 2\n", "id: 2\ndata: pie", "id: 2\ndata: piece 2\n"} {
				response := standin.FramedResponse{Framing: framing, Body: wholeEvents + partial, Reset: reset, Header: http.Header{"Content-Type": {"text/event-stream"}}}
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_ = response.WriteTo(w) // the caller's response shows whether it was written
				}))
				t.Cleanup(server.Close)
				names = append(names, fmt.Sprintf("%s/reset=%v/%q", framing, reset, partial))
				targets = append(targets, fleet.Target{Name: fmt.Sprintf("t%d", len(names)), Address: strings.TrimPrefix(server.URL, "http://"), Kind: fleet.TargetEngine, Slots: 8})
			}
		}
	}
	f := startFleet(t, targets...)
	for i, name := range names {
		t.Run(name, func(t *testing.T) {
			resp := f.do(http.MethodPost, "/e/"+targets[i].Name+"/x", strings.NewReader("x"))
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, resp.Body.Close())
			require.Error(t, err, "looks complete: %q", body)
			require.Equal(t, wholeEvents, string(body), "whole events only")
		})
	}
}

// Guards against an encoded stream, whose events cannot be read, that is taken for a broken one.
func TestEncodedStreamIsForwardedAsItIs(t *testing.T) {
	const encoded = "\x1f\x8b no lines, no events"
	response := standin.FramedResponse{Framing: fleet.FramingChunked, Body: encoded, Header: http.Header{"Content-Type": {"text/event-stream"}, "Content-Encoding": {"gzip"}}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = response.WriteTo(w) })) // the caller's response shows it
	t.Cleanup(server.Close)
	f := startFleet(t, fleet.Target{Name: "t1", Address: strings.TrimPrefix(server.URL, "http://"), Kind: fleet.TargetEngine, Slots: 8})
	resp := f.do(http.MethodPost, "/e/t1/x", strings.NewReader("x"), "Accept-Encoding", "gzip")
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, encoded, string(body))
}
