package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumfall/internal/fleet"
)

// A VMList is the platform's list of live and leaving VMs. It lags.
type VMList interface {
	VMs(ctx context.Context) ([]fleet.VM, error)
}

// A RealVMList reads the list as a JSON array over HTTP.
type RealVMList struct {
	URL string

	once   sync.Once
	client fasthttp.Client
}

// A MockVMList returns List and Err.
type MockVMList struct {
	List []fleet.VM
	Err  error
}

var (
	_ VMList = &RealVMList{}
	_ VMList = &MockVMList{}
)

const (
	vmListInterval      = time.Second
	platformReadTimeout = 2 * time.Second
	// maxVMListBytes bounds the size of the list. It is several times the size of a list of 5,000
	// VMs.
	maxVMListBytes = 2 << 20
)

// VMs implements VMList.
func (l *RealVMList) VMs(context.Context) ([]fleet.VM, error) {
	l.once.Do(func() { l.client.MaxResponseBodySize = maxVMListBytes })
	status, body, err := l.client.GetTimeout(nil, l.URL, platformReadTimeout)
	if err != nil {
		return nil, fmt.Errorf("read the list of VMs: %w", err)
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("read the list of VMs: HTTP status %d", status)
	}
	list, err := decodeVMs(body)
	if err != nil {
		return nil, fmt.Errorf("read the list of VMs: %w", err)
	}
	return list, nil
}

// decodeVMs decodes the entries one by one and skips damaged ones. The other entries remain
// valid: their VMs may be leaving.
func decodeVMs(body []byte) ([]fleet.VM, error) {
	var entries []json.RawMessage
	if err := json.Unmarshal(body, &entries); err != nil {
		return nil, err
	}
	if entries == nil {
		return nil, errNotArray
	}
	var list []fleet.VM
	for _, entry := range entries {
		var vm fleet.VM
		if json.Unmarshal(entry, &vm) == nil && vm.Name != "" && vm.Address != "" {
			list = append(list, vm)
		}
	}
	return list, nil
}

var errNotArray = errors.New("the response is not a JSON array")

// VMs implements VMList.
func (l *MockVMList) VMs(context.Context) ([]fleet.VM, error) {
	return l.List, l.Err
}

// watchVMs reads the list periodically until ctx ends.
func (c *core) watchVMs(ctx context.Context, list VMList) error {
	if list == nil {
		return nil
	}
	for sleep(ctx, vmListInterval) {
		vms, err := list.VMs(ctx)
		if err != nil {
			c.log.Warn("the list of VMs cannot be read: going on with what is known", "error", err)
			continue
		}
		c.enqueue(func(time.Time) { c.setVMs(vms) })
	}
	return nil
}

// leavingVMs are the addresses of the VMs that the list has shown as leaving since the
// configuration in force was accepted. The list lags, and reads may be served by replicas with
// different lags. A VM that looks live again therefore stays out until an operator applies a new
// configuration.
type leavingVMs struct {
	configNumber uint64
	addresses    map[string]bool
}

// setVMs processes a reading of the list.
func (c *core) setVMs(vms []fleet.VM) {
	if number := c.store.ConfigNumber(); c.leavingVMs.addresses == nil || c.leavingVMs.configNumber != number {
		c.leavingVMs = leavingVMs{configNumber: number, addresses: make(map[string]bool)}
	}
	for _, vm := range vms {
		if vm.Leaving && !c.leavingVMs.addresses[vm.Address] {
			c.leavingVMs.addresses[vm.Address] = true
			c.log.Info("VM leaves: its targets get no new work", "vm", vm.Name, "address", vm.Address, "zone", vm.Zone)
		}
	}
	c.updateUnavailableTargets()
}

// updateUnavailableTargets passes to the divider which targets are on leaving VMs or in evacuated
// zones. If the configuration declares pools, it also derives the list of targets from it.
func (c *core) updateUnavailableTargets() {
	if c.divider == nil {
		return
	}
	if c.leavingVMs.configNumber != c.store.ConfigNumber() {
		c.leavingVMs.addresses = nil
	}
	config, _ := c.store.Config()
	var leaving, evacuated []string
	for _, target := range config.Targets {
		host, _, err := net.SplitHostPort(target.Address)
		switch {
		case err == nil && c.leavingVMs.addresses[host]:
			leaving = append(leaving, target.Name)
		case c.store.EvacuatedZones().Contains(target.Zone):
			evacuated = append(evacuated, target.Name)
		}
	}
	slices.Sort(leaving)
	c.divider.SetLeavingTargets(c.clock.Now(), append(evacuated, leaving...))
	if len(config.Pools) > 0 {
		c.setTargets(c.clock.Now(), fleet.TargetListing{Targets: config.Instances(leaving)})
	}
}
