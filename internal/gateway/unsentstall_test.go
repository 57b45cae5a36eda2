package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/gateway"
)

// slowDialect lets the time of a request pass after its target has been chosen.
type slowDialect struct {
	gateway.Dialect
	delay time.Duration
}

// SetRequestHeaders implements gateway.Dialect.
func (d slowDialect) SetRequestHeaders(header http.Header, info gateway.AttemptInfo) {
	d.Dialect.SetRequestHeaders(header, info)
	time.Sleep(d.delay)
}

// Guards against a caller that is told that its request may have run although no byte of it was
// sent: its time passed while the process was suspended, right before the request was written.
func TestUnsentRequestIsNotRun(t *testing.T) {
	const timeLeft = "100"
	bed := newTestbed(t)
	bed.gateway.Dialect = slowDialect{Dialect: bed.gateway.Dialect, delay: 150 * time.Millisecond}
	for name, body := range map[string]string{"small body": "x", "large body": string(make([]byte, 90_000))} {
		t.Run(name, func(t *testing.T) {
			resp, refusal, err := bed.do(http.MethodPost, "/once/x", body, "X-Deadline-Ms", timeLeft)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, refusal)
			require.Contains(t, refusal, "time is up")
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			require.Empty(t, bed.runs())
		})
	}
}
