package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stored configuration that is accepted but cannot be served.
func FuzzDecodeConfig(f *testing.F) {
	f.Add([]byte(`{"number":3,"pool":[{"name":"p","targets":["a"]}],"target":[{"name":"a","address":"127.0.0.1:1","slots":1,"state":"live"}],"route":[{"name":"r","host":"h","prefix":"/","kind":"once","timeout":"8s","pools":[{"pool":"p","weight":1}]}]}`))
	f.Add([]byte(`{"route":[{"timeout":-1}]}`))
	f.Add([]byte(`{"number":-1}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		table, err := DecodeConfig(text)
		if err != nil {
			return
		}
		if route, ok := table.Route("h", "/x"); ok {
			require.GreaterOrEqual(t, route.Timeout, time.Duration(0))
			require.NotPanics(t, func() { route.PoolFor(1 << 63) })
		}
	})
}
