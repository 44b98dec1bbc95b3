package quota

import (
	"time"

	"dotterelgw/core/ids"
)

// Shortage describes an organisation whose budget is used up in the fleet, with what this VM knows of it.
type Shortage struct {
	// Organisation identifies the organisation.
	Organisation ids.OrganisationID
	// EmptyAnswers is the number of lenders in a row that had too little.
	EmptyAnswers int
	// AskInterval is the average time between two requests for loans.
	AskInterval time.Duration
	// ArrivedPerSecond and AdmittedPerSecond are the operations that arrived at this VM and those that it admitted.
	ArrivedPerSecond, AdmittedPerSecond float64
	// Rate is that of the whole budget.
	Rate float64
}

// Shortages returns the organisations whose budgets are used up.
func (accounts *Accounts) Shortages(now time.Duration) map[ids.OrganisationID]Shortage {
	shortages := make(map[ids.OrganisationID]Shortage)
	for id, account := range accounts.byOrganisation {
		if !account.exhaustion.lasting(now) {
			continue
		}
		shortages[id] = Shortage{
			Organisation: id, EmptyAnswers: account.exhaustion.empty, AskInterval: account.exhaustion.interval,
			ArrivedPerSecond: account.arrived.perSecond(now), AdmittedPerSecond: account.admitted.perSecond(now), Rate: account.budget.Rate,
		}
	}
	return shortages
}
