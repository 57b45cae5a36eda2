package gateway_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

// Symptom: idempotent requests end with 504 while sound targets idle.
// Sequence: one target takes a request and never answers; it answers others.
// Cause: an attempt may use up all the time that its caller has.
func TestARequestAtATargetThatHangsIsTriedElsewhere(t *testing.T) {
	tests := []struct {
		name, path string
		status     int
		runs       int
	}{
		{"idempotent", "/whole/x", http.StatusOK, 2},
		{"a stream that may be resumed", "/resume/stream", http.StatusOK, 2},
		{"runs once", "/once/x", http.StatusGatewayTimeout, 1},
		{"runs once, two attempts", "/twice/x", http.StatusGatewayTimeout, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(t)
			var met atomic.Int64
			b.site.Fault = func(s *standin.SiteTarget, _ http.ResponseWriter, r *http.Request) bool {
				if met.Add(1) > 1 {
					return false
				}
				s.Ran(r)
				<-r.Context().Done()
				return true
			}
			resp, text, err := b.do(http.MethodPost, tt.path, "x", "Authorization", "Bearer good-key")
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode, text)
			require.Len(t, b.runs(), tt.runs)
			if strings.HasSuffix(tt.path, "stream") {
				require.Equal(t, standin.SiteEvents, strings.Count(text, "data: piece"))
			}
		})
	}
}
