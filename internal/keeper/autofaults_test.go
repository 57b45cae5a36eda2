package keeper

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/journal"
)

// replaceDisk gives a VM an empty disk with a new identity.
func (cluster *autoCluster) replaceDisk(vm *keeperVM) {
	cluster.replacementCount++
	vm.disk = &journal.MockDisk{Seed: uint64(1000 + cluster.replacementCount)}
	vm.joined = false
	cluster.startKeeper(vm, &journal.Identity{Name: vm.name, ID: fmt.Sprintf("%s-%d", vm.name, cluster.replacementCount)})
}

func (cluster *autoCluster) restart(vm *keeperVM, powerLoss bool) {
	if vm.lost {
		return
	}
	if powerLoss {
		vm.disk.Crash()
	}
	vm.disk.FailFromOp = 0
	cluster.startKeeper(vm, nil)
}

// healFaults ends all faults except permanent losses.
func (cluster *autoCluster) healFaults() {
	cluster.lossy = false
	for _, router := range cluster.routers {
		router.partitioned = false
	}
	for _, vm := range cluster.vms {
		vm.partition = 0
		vm.frozenUntil = time.Time{}
		vm.disk.FailFromOp = 0
		if vm.core == nil && !vm.lost {
			cluster.restart(vm, false)
		}
	}
}

// waitHealthy ends all faults and waits until the group is healthy.
func (cluster *autoCluster) waitHealthy() bool {
	cluster.healFaults()
	for range 3000 {
		cluster.run(simStep)
		if cluster.isHealthy() {
			return true
		}
	}
	return false
}

// loseDisk permanently loses a VM's disk, and sometimes the VM with it, which another VM
// replaces. It first waits until the group is healthy, so that it never loses more disks at a
// time than the group tolerates.
func (cluster *autoCluster) loseDisk(vm *keeperVM) {
	if !cluster.waitHealthy() {
		require.Fail(cluster.t, "the group did not become healthy in time")
	}
	if cluster.random.IntN(2) == 0 {
		cluster.replaceDisk(vm)
		return
	}
	vm.core, vm.lost = nil, true
	cluster.run(time.Duration(cluster.random.IntN(3000)) * time.Millisecond)
	replacement := cluster.newVM()
	cluster.replaceDisk(replacement)
}

func (cluster *autoCluster) randomAction() {
	vm := cluster.vms[cluster.random.IntN(len(cluster.vms))]
	if vm.lost {
		return
	}
	switch cluster.random.IntN(15) {
	case 0, 1, 2:
		cluster.putConfig()
	case 3:
		cluster.restart(vm, cluster.random.IntN(2) == 0)
	case 4:
		if leader := cluster.leader(); leader != nil {
			cluster.restart(leader, true)
		}
	case 5:
		vm.frozenUntil = cluster.clock.Time.Add(time.Duration(cluster.random.IntN(6000)) * time.Millisecond)
	case 6:
		if leader := cluster.leader(); leader != nil {
			leader.frozenUntil = cluster.clock.Time.Add(time.Duration(cluster.random.IntN(8000)) * time.Millisecond)
			cluster.run(2 * time.Second)
			cluster.putConfig()
		}
	case 7:
		vm.partition = 1 - vm.partition
	case 8:
		for i, other := range cluster.vms {
			other.partition = i % 2
		}
	case 9:
		cluster.lossy = !cluster.lossy
	case 10:
		cluster.loseDisk(vm)
	case 11:
		for _, other := range cluster.vms {
			if other.core != nil || other.disk.Ops > 0 {
				cluster.restart(other, true)
			}
		}
	case 13:
		if leader := cluster.leader(); leader != nil {
			require.NoError(cluster.t, leader.core.resign())
			cluster.run(time.Duration(cluster.random.IntN(3)) * simStep)
			cluster.restart(leader, true)
		}
	case 12:
		vm.disk.FailFromOp, vm.disk.Fault = vm.disk.Ops+1+cluster.random.IntN(4), journal.ErrDiskFull
	default:
		router := cluster.routers[cluster.random.IntN(len(cluster.routers))]
		router.partitioned = !router.partitioned
	}
}
