package keeper

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// Symptom: a target on a VM that the platform takes away gets new work.
// Sequence: the platform's list shows the VM as leaving, then, lagging, as live
// again; the leader changes; a new configuration names the target live.
// Cause: a lagging list that is believed in both directions.
func TestLeavingVMTakesItsTargetsOut(t *testing.T) {
	g := newTrio(t, 5)
	g.run(3 * time.Second)
	c, ok := g.whole()
	require.True(t, ok)
	apply := func(number uint64) {
		c.submitConfig(g.clock.Now(), vmConfig(number), "op", func(_ message.ApplyResult, err error) { require.NoError(t, err) })
		g.run(time.Second)
	}
	apply(1)
	require.Equal(t, 4, held(g), "slots of both targets are lent")
	list := &MockVMList{List: []fleet.VM{{Name: "v1", Address: "10.0.0.1", Leaving: true}, {Name: "v2", Address: "10.0.0.2"}}}
	show := func() {
		vms, err := list.VMs(context.Background())
		require.NoError(t, err)
		for _, name := range g.names {
			g.cores[name].setVMs(vms)
		}
		g.run(time.Second)
	}
	show()
	require.Equal(t, 2, held(g), "only the other VM's target")
	list.List[0].Leaving = false
	show()
	require.Equal(t, 2, held(g), "a list that lags brings nothing back")
	old, _ := g.byID(c.node.ID)
	g.cut[old] = true
	g.run(6 * time.Second)
	require.Equal(t, 2, held(g), "nor does a change of leader")
	g.cut[old] = false
	g.run(2 * time.Second)
	c, ok = g.whole()
	require.True(t, ok)
	apply(2)
	g.run(4 * time.Second)
	require.Equal(t, 4, held(g), "an operator does")
}

func vmConfig(number uint64) fleet.Config {
	c := fleet.Config{Number: number, Accounts: []fleet.Account{{Name: "a", Share: 1}}}
	for _, t := range []struct{ name, address string }{{"t1", "10.0.0.1:9000"}, {"t2", "10.0.0.2:9000"}} {
		c.Targets = append(c.Targets, fleet.Target{Name: t.name, Address: t.address, Zone: "z", Kind: fleet.TargetService, Slots: 2, State: fleet.TargetLive})
	}
	c.Events = []fleet.Event{{Name: "e", Accounts: []string{"a"}, Targets: []string{"t1", "t2"}}}
	return c
}

// held counts the slots that the routers hold.
func held(g *trio) int {
	n := 0
	for _, s := range g.routers {
		for _, target := range s.View(g.clock.Now()).Targets {
			n += target.Slots
		}
	}
	return n
}

func TestRealVMListReadsJSON(t *testing.T) {
	body := `[{"name":"v1","address":"10.0.0.1","zone":"z","leaving":true,"colour":"blue"}]`
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	list := &RealVMList{URL: server.URL}
	vms, err := list.VMs(context.Background())
	require.NoError(t, err)
	require.Equal(t, []fleet.VM{{Name: "v1", Address: "10.0.0.1", Zone: "z", Leaving: true}}, vms)
	body = "{"
	_, err = list.VMs(context.Background())
	require.Error(t, err)
	status = http.StatusServiceUnavailable
	_, err = list.VMs(context.Background())
	require.ErrorContains(t, err, "503")
}

// Symptom: a target on a VM that leaves gets new work.
// Sequence: another writer puts an entry of its own on the list of VMs.
// Cause: the list was decoded as a whole.
func TestADamagedVMSpoilsNoOthers(t *testing.T) {
	good := `{"name":"v1","address":"10.0.0.1","zone":"z","leaving":true}`
	for _, entry := range []string{`7`, `null`, `[]`, `{}`, `{"name":"v2"}`, `{"name":3,"address":"10.0.0.2"}`, `{"name":"v2","address":"10.0.0.2","leaving":"yes"}`} {
		vms, err := decodeVMs([]byte(`[` + entry + `,` + good + `]`))
		require.NoError(t, err)
		require.Equal(t, []fleet.VM{{Name: "v1", Address: "10.0.0.1", Zone: "z", Leaving: true}}, vms, entry)
	}
	for _, body := range []string{``, `{}`, `null`, `7`, `[` + good} {
		_, err := decodeVMs([]byte(body))
		require.Error(t, err, body)
	}
}

// Symptom: a keeper grows until it is killed.
// Sequence: the list of VMs sends bytes without end.
// Cause: a reading is bounded by time only.
func TestAListOfVMsWithoutEndIsNoList(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		block := make([]byte, 1<<20)
		for range 64 {
			if _, err := w.Write(block); err != nil {
				return // the reader has left
			}
		}
	}))
	defer s.Close()
	list := &RealVMList{URL: s.URL}
	_, err := list.VMs(context.Background())
	require.ErrorIs(t, err, fasthttp.ErrBodyTooLarge)
}

// Whatever the list holds: a VM that is taken from it has a name and an address.
func FuzzVMs(f *testing.F) {
	f.Add([]byte(`[{"name":"v1","address":"10.0.0.1","zone":"z","leaving":true},7,null,{"name":[]}]`))
	f.Add([]byte(`{"name":"v1"}`))
	f.Add([]byte("[\xff]"))
	f.Fuzz(func(t *testing.T, body []byte) {
		vms, err := decodeVMs(body)
		if err != nil {
			require.Empty(t, vms)
		}
		for _, vm := range vms {
			require.NotEmpty(t, vm.Name)
			require.NotEmpty(t, vm.Address)
		}
	})
}
