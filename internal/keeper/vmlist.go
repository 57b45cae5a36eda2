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

// A MockVMList is a list set by hand.
type MockVMList struct {
	List []fleet.VM
	Err  error
}

var (
	_ VMList = &RealVMList{}
	_ VMList = &MockVMList{}
)

const (
	listPeriod  = time.Second
	listTimeout = 2 * time.Second
	// maxVMList bounds the list, in bytes: some times what 5,000 VMs take.
	maxVMList = 2 << 20
)

// VMs implements VMList.
func (l *RealVMList) VMs(context.Context) ([]fleet.VM, error) {
	l.once.Do(func() { l.client.MaxResponseBodySize = maxVMList })
	status, body, err := l.client.GetTimeout(nil, l.URL, listTimeout)
	if err != nil {
		return nil, fmt.Errorf("read the list of VMs: %w", err)
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("read the list of VMs: status %d", status)
	}
	list, err := decodeVMs(body)
	if err != nil {
		return nil, fmt.Errorf("read the list of VMs: %w", err)
	}
	return list, nil
}

// decodeVMs reads the entries one by one. A damaged one names no VM, and the others hold:
// they may be leaving.
func decodeVMs(body []byte) ([]fleet.VM, error) {
	var entries []json.RawMessage
	if err := json.Unmarshal(body, &entries); err != nil {
		return nil, err
	}
	if entries == nil {
		return nil, errNoList
	}
	var list []fleet.VM
	for _, e := range entries {
		var vm fleet.VM
		if json.Unmarshal(e, &vm) == nil && vm.Name != "" && vm.Address != "" {
			list = append(list, vm)
		}
	}
	return list, nil
}

var errNoList = errors.New("it is no list")

// VMs implements VMList.
func (l *MockVMList) VMs(context.Context) ([]fleet.VM, error) {
	return l.List, l.Err
}

// watchVMs is the duty that looks at the platform's list.
func (c *core) watchVMs(ctx context.Context, list VMList) error {
	if list == nil {
		return nil
	}
	for sleep(ctx, listPeriod) {
		vms, err := list.VMs(ctx)
		if err != nil {
			c.log.Warn("the list of VMs cannot be read: going on with what is known", "error", err)
			continue
		}
		c.post(func(time.Time) { c.setVMs(vms) })
	}
	return nil
}

// goneVMs are the addresses of VMs that the list has shown as leaving since the
// configuration in force was accepted. Since the list lags, and may be read
// from places that lag differently, a VM that looks live again stays out until
// an operator says otherwise by a new configuration.
type goneVMs struct {
	number    uint64
	addresses map[string]bool
}

// setVMs takes the list. Before this keeper has loaded its state it is ignored.
func (c *core) setVMs(vms []fleet.VM) {
	if number := c.ledger.Number(); c.gone.addresses == nil || c.gone.number != number {
		c.gone = goneVMs{number: number, addresses: make(map[string]bool)}
	}
	for _, vm := range vms {
		if vm.Leaving && !c.gone.addresses[vm.Address] {
			c.gone.addresses[vm.Address] = true
			c.log.Info("VM leaves: its targets get no new work", "vm", vm.Name, "address", vm.Address, "zone", vm.Zone)
		}
	}
	c.giveGone()
}

// giveGone tells the divider which targets are on VMs that leave or in evacuated zones.
func (c *core) giveGone() {
	if c.divider == nil {
		return
	}
	if c.gone.number != c.ledger.Number() {
		c.gone.addresses = nil
	}
	config, _ := c.ledger.Config()
	var names, evacuated []string
	for _, t := range config.Targets {
		host, _, err := net.SplitHostPort(t.Address)
		switch {
		case err == nil && c.gone.addresses[host]:
			names = append(names, t.Name)
		case c.ledger.Evacuations().Contains(t.Zone):
			evacuated = append(evacuated, t.Name)
		}
	}
	slices.Sort(names)
	c.divider.SetGone(c.clock.Now(), append(evacuated, names...))
	if len(config.Pools) > 0 {
		c.setTargets(c.clock.Now(), fleet.TargetListing{Targets: config.Instances(names)})
	}
}
