package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// page is a page of the list, its entries as they are.
type page struct {
	Instances []json.RawMessage `json:"instances"`
	Next      string            `json:"next"`
}

// entries reads the whole list of a site.
func entries(t *testing.T, s *Platform) (list []string) {
	for token := "0"; token != ""; {
		resp, err := http.Get("http://" + s.Address() + "/instances?page_token=" + token)
		require.NoError(t, err)
		var p page
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&p))
		require.NoError(t, resp.Body.Close())
		for _, e := range p.Instances {
			list = append(list, string(e))
		}
		token = p.Next
	}
	return list
}

func TestATargetStartsAgainUnderItsID(t *testing.T) {
	site, err := StartPlatform("127.0.0.1:0")
	require.NoError(t, err)
	defer site.Close()
	former, err := site.Add("a", "p", "z", "127.0.0.1:0", 6)
	require.NoError(t, err)
	former.Drain()
	former.SetListedAddress("127.0.0.1:9")
	next, err := site.Restart(former)
	require.NoError(t, err)
	require.Equal(t, former.ID, next.ID)
	require.Greater(t, next.StartMillis, former.StartMillis)
	require.Equal(t, "127.0.0.1:9", next.Address, "it stays behind its proxy")
	list := entries(t, site)
	require.Len(t, list, 1)
	require.Contains(t, list[0], `"state":"ready"`)

	resp, err := http.Get("http://" + next.listen + "/x")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Empty(t, former.Runs())
	require.Len(t, next.Runs(), 1)
}

func TestAListHoldsDamagedEntries(t *testing.T) {
	site, err := StartPlatform("127.0.0.1:0")
	require.NoError(t, err)
	defer site.Close()
	target, err := site.Add("a", "p", "z", "127.0.0.1:0", 6)
	require.NoError(t, err)
	sound := entries(t, site)
	site.SetDamagedEntries(DamagedEntries...)
	require.Equal(t, append(append([]string(nil), DamagedEntries...), sound...), entries(t, site))
	site.SetDamagedEntries()
	target.SetListEntry("7")
	require.Equal(t, []string{"7"}, entries(t, site))
	target.SetListEntry("")
	require.Equal(t, sound, entries(t, site))

	site.SetListBody("\xff")
	resp, err := http.Get("http://" + site.Address() + "/instances")
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, "\xff", string(body))
	site.SetListBody("")
	require.Equal(t, sound, entries(t, site))
}
