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

// Guards against new work for a target on a leaving VM, because a later reading of the lagging
// list shows the VM as live again. Neither such a reading nor a new leader brings the target
// back, but a new configuration does.
func TestTargetsOfLeavingVMStayUnavailable(t *testing.T) {
	cluster := newSimCluster(t, 5)
	cluster.run(3 * time.Second)
	c, ok := cluster.healthyLeader()
	require.True(t, ok)
	apply := func(number uint64) {
		c.submitConfig(cluster.clock.Now(), vmConfig(number), "op", func(_ message.ApplyResult, err error) { require.NoError(t, err) })
		cluster.run(time.Second)
	}
	apply(1)
	require.Equal(t, 4, leasedSlots(cluster), "slots of both targets are leased")
	list := &MockVMList{List: []fleet.VM{{Name: "v1", Address: "10.0.0.1", Leaving: true}, {Name: "v2", Address: "10.0.0.2"}}}
	readList := func() {
		vms, err := list.VMs(context.Background())
		require.NoError(t, err)
		for _, name := range cluster.names {
			cluster.cores[name].setVMs(vms)
		}
		cluster.run(time.Second)
	}
	readList()
	require.Equal(t, 2, leasedSlots(cluster), "only the target on the live VM has slots")
	list.List[0].Leaving = false
	readList()
	require.Equal(t, 2, leasedSlots(cluster), "a lagging list does not bring the target back")
	oldLeader, _ := cluster.coreByID(c.node.ID)
	cluster.partitioned[oldLeader] = true
	cluster.run(6 * time.Second)
	require.Equal(t, 2, leasedSlots(cluster), "a new leader does not bring the target back")
	cluster.partitioned[oldLeader] = false
	cluster.run(2 * time.Second)
	c, ok = cluster.healthyLeader()
	require.True(t, ok)
	apply(2)
	cluster.run(4 * time.Second)
	require.Equal(t, 4, leasedSlots(cluster), "a new configuration brings the target back")
}

func vmConfig(number uint64) fleet.Config {
	config := fleet.Config{Number: number, Accounts: []fleet.Account{{Name: "a", Share: 1}}}
	for _, target := range []struct{ name, address string }{{"t1", "10.0.0.1:9000"}, {"t2", "10.0.0.2:9000"}} {
		config.Targets = append(config.Targets, fleet.Target{Name: target.name, Address: target.address, Zone: "z", Kind: fleet.TargetService, Slots: 2, State: fleet.TargetLive})
	}
	config.Events = []fleet.Event{{Name: "e", Accounts: []string{"a"}, Targets: []string{"t1", "t2"}}}
	return config
}

// leasedSlots returns how many slots the routers hold.
func leasedSlots(cluster *simCluster) int {
	total := 0
	for _, scheduler := range cluster.routers {
		for _, target := range scheduler.View(cluster.clock.Now()).Targets {
			total += target.Slots
		}
	}
	return total
}

func TestRealVMListDecodesJSON(t *testing.T) {
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

// Guards against new work for targets on a leaving VM, because an entry of another writer makes
// the whole list unreadable.
func TestDecodeVMsSkipsDamagedEntries(t *testing.T) {
	validEntry := `{"name":"v1","address":"10.0.0.1","zone":"z","leaving":true}`
	for _, entry := range []string{`7`, `null`, `[]`, `{}`, `{"name":"v2"}`, `{"name":3,"address":"10.0.0.2"}`, `{"name":"v2","address":"10.0.0.2","leaving":"yes"}`} {
		vms, err := decodeVMs([]byte(`[` + entry + `,` + validEntry + `]`))
		require.NoError(t, err)
		require.Equal(t, []fleet.VM{{Name: "v1", Address: "10.0.0.1", Zone: "z", Leaving: true}}, vms, entry)
	}
	for _, body := range []string{``, `{}`, `null`, `7`, `[` + validEntry} {
		_, err := decodeVMs([]byte(body))
		require.Error(t, err, body)
	}
}

// Guards against a keeper that runs out of memory because the list of VMs never ends. A timeout
// alone does not bound the size.
func TestRefusesOversizedVMList(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		block := make([]byte, 1<<20)
		for range 64 {
			if _, err := w.Write(block); err != nil {
				return // the client has closed the connection
			}
		}
	}))
	defer server.Close()
	list := &RealVMList{URL: server.URL}
	_, err := list.VMs(context.Background())
	require.ErrorIs(t, err, fasthttp.ErrBodyTooLarge)
}

// FuzzVMs checks that each VM decoded from any list has a name and an address.
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
