package keeper

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/journal"
)

// wipe gives a VM an empty disk under a new identity.
func (g *tended) wipe(vm *keeperVM) {
	g.ids++
	vm.disk = &journal.MockDisk{Seed: uint64(1000 + g.ids)}
	vm.joined = false
	g.boot(vm, &journal.Identity{Name: vm.name, ID: fmt.Sprintf("%s-%d", vm.name, g.ids)})
}

func (g *tended) restart(vm *keeperVM, power bool) {
	if vm.gone {
		return
	}
	if power {
		vm.disk.Crash()
	}
	vm.disk.FailFromOp = 0
	g.boot(vm, nil)
}

// heal mends all but what is gone for good.
func (g *tended) heal() {
	g.lossy = false
	for _, r := range g.routers {
		r.cut = false
	}
	for _, vm := range g.vms {
		vm.cut = 0
		vm.frozen = time.Time{}
		vm.disk.FailFromOp = 0
		if vm.core == nil && !vm.gone {
			g.restart(vm, false)
		}
	}
}

// settle heals and waits until all is whole.
func (g *tended) settle() bool {
	g.heal()
	for range 3000 {
		g.run(tendedStep)
		if g.whole() {
			return true
		}
	}
	return false
}

// lose takes a disk for good, and sometimes the VM with it; another VM comes.
// The group is whole before: no more disks are lost at a time than it bears.
func (g *tended) lose(vm *keeperVM) {
	if !g.settle() {
		require.Fail(g.t, "the group is not whole in time")
	}
	if g.random.IntN(2) == 0 {
		g.wipe(vm)
		return
	}
	vm.core, vm.gone = nil, true
	g.run(time.Duration(g.random.IntN(3000)) * time.Millisecond)
	fresh := g.newVM()
	g.wipe(fresh)
}

func (g *tended) act() {
	vm := g.vms[g.random.IntN(len(g.vms))]
	if vm.gone {
		return
	}
	switch g.random.IntN(15) {
	case 0, 1, 2:
		g.put()
	case 3:
		g.restart(vm, g.random.IntN(2) == 0)
	case 4:
		if l := g.leader(); l != nil {
			g.restart(l, true)
		}
	case 5:
		vm.frozen = g.clock.Time.Add(time.Duration(g.random.IntN(6000)) * time.Millisecond)
	case 6:
		if l := g.leader(); l != nil {
			l.frozen = g.clock.Time.Add(time.Duration(g.random.IntN(8000)) * time.Millisecond)
			g.run(2 * time.Second)
			g.put()
		}
	case 7:
		vm.cut = 1 - vm.cut
	case 8:
		for i, other := range g.vms {
			other.cut = i % 2
		}
	case 9:
		g.lossy = !g.lossy
	case 10:
		g.lose(vm)
	case 11:
		for _, other := range g.vms {
			if other.core != nil || other.disk.Ops > 0 {
				g.restart(other, true)
			}
		}
	case 13:
		if l := g.leader(); l != nil {
			require.NoError(g.t, l.core.resign())
			g.run(time.Duration(g.random.IntN(3)) * tendedStep)
			g.restart(l, true)
		}
	case 12:
		vm.disk.FailFromOp, vm.disk.Fault = vm.disk.Ops+1+g.random.IntN(4), journal.ErrDiskFull
	default:
		r := g.routers[g.random.IntN(len(g.routers))]
		r.cut = !r.cut
	}
}
