package quota

import (
	"slices"

	"laburnumfall/internal/message"
)

// An AccountList is a list of accounts that changes seldom, so that routers need to be told of it
// seldom: accounts that ask for nothing any more stay for a while.
type AccountList struct {
	list   []string
	digest uint32
}

// unusedNames bounds the accounts that ask for nothing, beside as many as do.
const unusedNames = 64

// Align returns the demands in the order of the names, which include all their accounts from
// then on.
func (n *AccountList) Align(demand []message.Demand) []message.Demand {
	by := make(map[string]message.Demand, len(demand))
	fresh := false
	for _, d := range demand {
		by[d.Account] = d
		_, known := slices.BinarySearch(n.list, d.Account)
		fresh = fresh || !known
	}
	if fresh || len(n.list) > 2*len(demand)+unusedNames {
		n.renew(by)
	}
	rows := make([]message.Demand, len(n.list))
	for i, name := range n.list {
		rows[i] = by[name]
		rows[i].Account = name
	}
	return rows
}

func (n *AccountList) renew(by map[string]message.Demand) {
	list := make([]string, 0, len(by))
	if len(n.list) <= len(by)+unusedNames {
		list = append(list, n.list...)
	}
	for name := range by {
		list = append(list, name)
	}
	slices.Sort(list)
	n.list = slices.Compact(list)
	n.digest = message.Digest(n.list)
}

// Digest returns the message.Digest of the list, 0 while there is none.
func (n *AccountList) Digest() uint32 { return n.digest }
