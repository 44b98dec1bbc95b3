package quota

import (
	"context"
	"maps"
	"sync"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/limit"
	"dotterelgw/core/quota"
	"dotterelgw/io/mesh"
)

// The kinds of messages of Servers.
const (
	kindServerRequest mesh.Kind = "server_loan_request"
	kindServerLoan    mesh.Kind = "server_loan"
)

// Servers limits the statements that all VMs together send to backend servers, each to its own budget. A server without a budget has no
// limit. It is safe for concurrent use.
type Servers struct {
	limiter *Limiter

	mutex   sync.Mutex
	budgets map[ids.BackendServerID]limit.Budget
}

// NewServers returns a limiter without budgets.
func NewServers(self ids.VMID, network *mesh.Mesh) *Servers {
	// A server gets a budget when it has just started, so its parts have earned nothing before.
	return &Servers{limiter: newLimiter(self, network, quota.MinDowntime, kinds{request: kindServerRequest, loan: kindServerLoan})}
}

// Run borrows ahead of demand until the context ends.
func (servers *Servers) Run(ctx context.Context) { servers.limiter.Run(ctx) }

// SetVMs sets the VMs that share the budgets.
func (servers *Servers) SetVMs(vms []ids.VMID) { servers.limiter.SetVMs(vms) }

// SetBudgets replaces the budgets and reports whether they changed.
func (servers *Servers) SetBudgets(budgets map[ids.BackendServerID]limit.Budget) bool {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	if maps.Equal(servers.budgets, budgets) {
		return false
	}
	servers.budgets = budgets
	accounts := make(map[ids.OrganisationID]limit.Budget, len(budgets))
	for id, budget := range budgets {
		accounts[accountOf(id)] = budget
	}
	servers.limiter.setBudgets(accounts)
	return true
}

// Admit takes one statement from the budget of the server, if it has one. It waits for a loan like Limiter.Admit.
func (servers *Servers) Admit(server ids.BackendServerID) bool {
	servers.mutex.Lock()
	budget, limited := servers.budgets[server]
	servers.mutex.Unlock()
	if !limited {
		return true
	}
	admitted, _ := servers.limiter.Admit(&catalog.Organisation{ID: accountOf(server), Rate: budget.Rate})
	return admitted
}

// accountOf returns the name of the server's account, which is never that of an organisation as the two have separate accounts.
func accountOf(server ids.BackendServerID) ids.OrganisationID { return ids.OrganisationID(server) }
