package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// listPage is a page of the list with its entries as JSON texts.
type listPage struct {
	Instances []json.RawMessage `json:"instances"`
	Next      string            `json:"next"`
}

// readEntries reads all pages of the list.
func readEntries(t *testing.T, platform *Platform) (texts []string) {
	for token := "0"; token != ""; {
		resp, err := http.Get("http://" + platform.Address() + "/instances?page_token=" + token)
		require.NoError(t, err)
		var page listPage
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&page))
		require.NoError(t, resp.Body.Close())
		for _, entry := range page.Instances {
			texts = append(texts, string(entry))
		}
		token = page.Next
	}
	return texts
}

func TestRestartKeepsIDAndListedAddress(t *testing.T) {
	platform, err := StartPlatform("127.0.0.1:0")
	require.NoError(t, err)
	defer platform.Close()
	previous, err := platform.Add("a", "p", "z", "127.0.0.1:0", 6)
	require.NoError(t, err)
	previous.Drain()
	previous.SetListedAddress("127.0.0.1:9")
	restarted, err := platform.Restart(previous)
	require.NoError(t, err)
	require.Equal(t, previous.ID, restarted.ID)
	require.Greater(t, restarted.StartMillis, previous.StartMillis)
	require.Equal(t, "127.0.0.1:9", restarted.Address, "the list keeps the address of the proxy")
	texts := readEntries(t, platform)
	require.Len(t, texts, 1)
	require.Contains(t, texts[0], `"state":"ready"`)

	resp, err := http.Get("http://" + restarted.ownAddress + "/x")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Empty(t, previous.Runs())
	require.Len(t, restarted.Runs(), 1)
}

func TestListShowsDamagedEntries(t *testing.T) {
	platform, err := StartPlatform("127.0.0.1:0")
	require.NoError(t, err)
	defer platform.Close()
	target, err := platform.Add("a", "p", "z", "127.0.0.1:0", 6)
	require.NoError(t, err)
	undamaged := readEntries(t, platform)
	platform.SetDamagedEntries(DamagedEntries...)
	require.Equal(t, append(append([]string(nil), DamagedEntries...), undamaged...), readEntries(t, platform))
	platform.SetDamagedEntries()
	target.SetListEntry("7")
	require.Equal(t, []string{"7"}, readEntries(t, platform))
	target.SetListEntry("")
	require.Equal(t, undamaged, readEntries(t, platform))

	platform.SetListBody("\xff")
	resp, err := http.Get("http://" + platform.Address() + "/instances")
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, "\xff", string(body))
	platform.SetListBody("")
	require.Equal(t, undamaged, readEntries(t, platform))
}
