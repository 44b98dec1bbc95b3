package contract

import (
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strings"

	"dotterelgw/core/ids"
)

const (
	// minBurst allows each of the four share holders to hold a token for one statement.
	minBurst = 4
	// minBurstSeconds is the time at the full rate that the burst must cover. Grants (section 6 of the design) are valid for
	// at least 50 ms; shorter ones would cost more messages than statements.
	minBurstSeconds = 0.1
	maxRate         = 10_000_000
	maxBurst        = 100_000_000
	maxWeight       = 1000
	maxCount        = 1_000_000
	maxDurationMS   = 3_600_000
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9_-]{1,63}$`)
	groupPattern = regexp.MustCompile(`^[A-Za-z0-9_.-]{1,63}$`)
)

const (
	nameRule  = "the name must be 1 to 63 characters of [a-z0-9_-]"
	groupRule = "the group must be 1 to 63 characters of [A-Za-z0-9_.-]"
)

// Validate returns every violation in the contract as an error of the type Violations, or nil if there is none.
func (contract *Contract) Validate() error {
	if violations := contract.check(); len(violations) > 0 {
		return violations
	}
	return nil
}

func (contract *Contract) check() Violations {
	var checker checker
	checker.checkPattern("organisation", string(contract.Organisation), namePattern, nameRule)
	checker.checkNumber("rate", contract.Rate, contract.Rate > 0 && contract.Rate <= maxRate,
		fmt.Sprintf("the rate must be above 0 and at most %d statements a second", maxRate))
	least := math.Max(minBurst, contract.Rate*minBurstSeconds)
	checker.checkNumber("burst", contract.Burst, contract.Burst >= least && contract.Burst <= maxBurst,
		fmt.Sprintf("the burst must be at least %d and rate × %g s, here %g, and at most %d", minBurst, minBurstSeconds, least, maxBurst))
	checker.checkNumber("weight", contract.Weight, contract.Weight > 0 && contract.Weight <= maxWeight,
		fmt.Sprintf("the weight must be above 0 and at most %d", maxWeight))
	limits := contract.Limits
	checker.checkRange("limits.connections", limits.Connections, 1, maxCount)
	checker.checkRange("limits.transactions", limits.Transactions, 1, maxCount)
	checker.checkRange("limits.queue", limits.Queue, 0, maxCount)
	checker.checkRange("limits.queue_timeout_ms", limits.QueueTimeoutMS, 1, maxDurationMS)
	if len(contract.Routes) == 0 {
		checker.add("routes", "", "the contract must have a route")
	}
	routes := map[ids.RouteName]bool{}
	for i, route := range contract.Routes {
		path := fmt.Sprintf("routes[%d].", i)
		checker.checkRoute(path, route)
		if routes[route.Name] {
			checker.add(path+"name", displayValue(path+"name", string(route.Name)), "the name must be unique within the contract")
		}
		routes[route.Name] = true
	}
	keys := map[ids.KeyID]bool{}
	for i, key := range contract.Keys {
		path := fmt.Sprintf("keys[%d].", i)
		checker.checkKey(path, key)
		if keys[key.ID] {
			checker.add(path+"id", displayValue(path+"id", string(key.ID)), "the id must be unique within the contract")
		}
		keys[key.ID] = true
	}
	return checker.violations
}

type checker struct {
	violations Violations
}

func (checker *checker) add(key, value, rule string) {
	checker.violations = append(checker.violations, Violation{Key: key, Value: value, Rule: rule})
}

func (checker *checker) checkPattern(key, value string, pattern *regexp.Regexp, rule string) {
	if !pattern.MatchString(value) {
		checker.add(key, displayValue(key, value), rule)
	}
}

func (checker *checker) checkNumber(key string, value float64, ok bool, rule string) {
	if !ok || math.IsNaN(value) {
		checker.add(key, displayValue(key, value), rule)
	}
}

func (checker *checker) checkRange(key string, value, low, high int) {
	if value < low || value > high {
		checker.add(key, displayValue(key, value), fmt.Sprintf("the value must be from %d to %d", low, high))
	}
}

func (checker *checker) checkRoute(path string, route Route) {
	checker.checkPattern(path+"name", string(route.Name), namePattern, nameRule)
	checker.checkPattern(path+"group", string(route.Group), groupPattern, groupRule)
	database := string(route.Database)
	if len(database) > 63 || strings.ContainsFunc(database, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		checker.add(path+"database", displayValue(path+"database", database), "the database must be at most 63 bytes without control characters")
	}
	switch route.Access {
	case ReadWrite, Read, Auto:
	default:
		checker.add(path+"access", displayValue(path+"access", string(route.Access)), "the access must be read_write, read or auto")
	}
	checker.checkRange(path+"max_age_ms", route.MaxStalenessMS, 0, maxDurationMS)
}

func (checker *checker) checkKey(path string, key Key) {
	checker.checkPattern(path+"id", string(key.ID), namePattern, nameRule)
	if err := CheckVerifier(key.Verifier); err != nil {
		checker.add(path+"verifier", "", err.Error())
	}
	if key.IssuedAt.IsZero() {
		checker.add(path+"given", "", "the date and time must be set")
	}
	if !key.WithdrawnAt.IsZero() && key.WithdrawnAt.Before(key.IssuedAt) {
		checker.add(path+"withdrawn", "", "the withdrawal must not be before the key was given")
	}
}

// CheckGroups validates all contracts together. For each group, the sum of the transaction limits of all organisations with
// a route to it must not exceed the connections that one of its servers accepts, because all transactions may need the
// primary. The limits apply per VM, so the check prevents a single VM from exhausting a server. The connection pools divide
// the server's connections between VMs.
func CheckGroups(contracts []*Contract, connections map[ids.GroupID]int) error {
	needs := map[ids.GroupID]map[ids.OrganisationID]int{}
	for _, contract := range contracts {
		for _, route := range contract.Routes {
			if needs[route.Group] == nil {
				needs[route.Group] = map[ids.OrganisationID]int{}
			}
			needs[route.Group][contract.Organisation] = contract.Limits.Transactions
		}
	}
	var violations Violations
	for _, group := range slices.Sorted(maps.Keys(needs)) {
		available, ok := connections[group]
		if !ok {
			violations = append(violations, Violation{Key: "routes", Value: string(group), Rule: "the group is not known"})
			continue
		}
		sum, parts := 0, []string{}
		for _, organisation := range slices.Sorted(maps.Keys(needs[group])) {
			sum += needs[group][organisation]
			parts = append(parts, fmt.Sprintf("%s %d", organisation, needs[group][organisation]))
		}
		if sum > available {
			violations = append(violations, Violation{Key: "limits.transactions", Value: fmt.Sprint(sum), Rule: fmt.Sprintf(
				"the sum over the organisations of group %s must be at most its %d connections (%s)", group, available, strings.Join(parts, ", "))})
		}
	}
	if len(violations) > 0 {
		return violations
	}
	return nil
}
