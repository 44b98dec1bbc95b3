package schedule

import (
	"math/rand/v2"
	"time"

	"dotterelgw/io/load/experiment"
)

// Kind is the kind of a request.
type Kind string

// The kinds of requests.
const (
	Read        Kind = "read"
	Write       Kind = "write"
	Transaction Kind = "transaction"
)

// Arrival is a request that is due at a fixed time, regardless of the outcome of earlier requests.
type Arrival struct {
	// At is the scheduled time, relative to the start of the run.
	At time.Duration
	// Kind is Read, Write or Transaction.
	Kind Kind
	// Session is the index of the session within the organisation.
	Session int
}

// Arrivals returns the arrivals of an organisation in order of time. The result is determined by seed and stream.
func Arrivals(organisation experiment.Organisation, duration time.Duration, seed, stream uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, stream))
	var arrivals []Arrival
	for at := nextArrival(organisation, random, 0); at < duration; at = nextArrival(organisation, random, at) {
		size := 1
		if organisation.Arrivals == "bursts" {
			size = organisation.BurstSize
		}
		for range size {
			arrivals = append(arrivals, Arrival{At: at, Kind: randomKind(organisation, random), Session: random.IntN(organisation.Sessions)})
		}
	}
	return arrivals
}

// nextArrival returns the time of the arrival that follows one at the given time. It integrates the rate over the phases,
// so that the arrival falls where the expected number of arrivals is used up.
func nextArrival(organisation experiment.Organisation, random *rand.Rand, at time.Duration) time.Duration {
	remaining := 1.0 // expected number of arrivals until the next one
	if organisation.Arrivals != "even" {
		remaining = random.ExpFloat64()
	}
	if organisation.Arrivals == "bursts" {
		remaining *= float64(organisation.BurstSize)
	}
	for {
		rate, until := rateAt(organisation, at)
		if rate > 0 {
			reached := at + max(1, time.Duration(remaining/rate*float64(time.Second)))
			if until == 0 || reached < until {
				return reached
			}
			remaining -= rate * (until - at).Seconds()
		} else if until == 0 {
			return 1<<63 - 1
		}
		at = until
	}
}

// rateAt returns the rate at a time and the time of the next phase, 0 if there is none.
func rateAt(organisation experiment.Organisation, at time.Duration) (rate float64, until time.Duration) {
	factor := 1.0
	for _, phase := range organisation.Phases {
		begin := time.Duration(phase.At)
		if begin <= at {
			factor = phase.Factor
		} else {
			until = begin
			break
		}
	}
	return organisation.Rate * factor, until
}

func randomKind(organisation experiment.Organisation, random *rand.Rand) Kind {
	switch {
	case random.Float64() < organisation.ReadShare:
		return Read
	case random.Float64() < organisation.TransactionShare:
		return Transaction
	}
	return Write
}
