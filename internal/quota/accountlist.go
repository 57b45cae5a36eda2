package quota

import (
	"slices"

	"laburnumfall/internal/message"
)

// An AccountList is an ordered list of accounts that changes rarely, so that it is rarely sent to
// routers. Accounts without demand stay on it for a while.
type AccountList struct {
	names  []string
	digest uint32
}

// maxUnusedAccounts bounds the accounts without demand, in addition to as many as have demand.
const maxUnusedAccounts = 64

// Align returns one demand per account on the list, in its order. It first adds the accounts that
// are missing from the list, and shortens a list with too many unused accounts.
func (l *AccountList) Align(demand []message.Demand) []message.Demand {
	byAccount := make(map[string]message.Demand, len(demand))
	hasNew := false
	for _, d := range demand {
		byAccount[d.Account] = d
		_, known := slices.BinarySearch(l.names, d.Account)
		hasNew = hasNew || !known
	}
	if hasNew || len(l.names) > 2*len(demand)+maxUnusedAccounts {
		l.rebuild(byAccount)
	}
	rows := make([]message.Demand, len(l.names))
	for i, name := range l.names {
		rows[i] = byAccount[name]
		rows[i].Account = name
	}
	return rows
}

func (l *AccountList) rebuild(demand map[string]message.Demand) {
	names := make([]string, 0, len(demand))
	if len(l.names) <= len(demand)+maxUnusedAccounts {
		names = append(names, l.names...)
	}
	for name := range demand {
		names = append(names, name)
	}
	slices.Sort(names)
	l.names = slices.Compact(names)
	l.digest = message.Digest(l.names)
}

// Digest returns the message.Digest of the list, 0 while the list is empty.
func (l *AccountList) Digest() uint32 { return l.digest }
