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

// Arrival is one request that is to be sent at a time, whatever became of those before it.
type Arrival struct {
	// At is the intended time since the start of the run.
	At time.Duration
	// Kind is the kind of the request, Session the index of the session within the organisation.
	Kind    Kind
	Session int
}

// Arrivals returns the arrivals of an organisation in order; equal seeds and streams give equal arrivals.
func Arrivals(organisation experiment.Organisation, duration time.Duration, seed, stream uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, stream))
	var arrivals []Arrival
	for at := next(organisation, random, 0); at < duration; at = next(organisation, random, at) {
		size := 1
		if organisation.Arrivals == "bursts" {
			size = organisation.BurstSize
		}
		for range size {
			arrivals = append(arrivals, Arrival{At: at, Kind: kind(organisation, random), Session: random.IntN(organisation.Sessions)})
		}
	}
	return arrivals
}

// next returns the time of the arrival after the given one.
func next(organisation experiment.Organisation, random *rand.Rand, at time.Duration) time.Duration {
	step := 1.0 // expected arrivals until the next one
	if organisation.Arrivals != "even" {
		step = random.ExpFloat64()
	}
	if organisation.Arrivals == "bursts" {
		step *= float64(organisation.BurstSize)
	}
	for {
		rate, until := rateAt(organisation, at)
		if rate > 0 {
			reached := at + max(1, time.Duration(step/rate*float64(time.Second)))
			if until == 0 || reached < until {
				return reached
			}
			step -= rate * (until - at).Seconds()
		} else if until == 0 {
			return 1<<63 - 1
		}
		at = until
	}
}

// rateAt returns the rate at a time and the time at which it changes, 0 for never.
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

func kind(organisation experiment.Organisation, random *rand.Rand) Kind {
	switch {
	case random.Float64() < organisation.ReadShare:
		return Read
	case random.Float64() < organisation.TransactionShare:
		return Transaction
	}
	return Write
}
