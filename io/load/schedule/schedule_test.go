package schedule

import (
	"math"
	"slices"
	"testing"
	"time"

	"dotterelgw/io/load/experiment"
)

// Guards against a number of arrivals that depends on the arrival process, and against arrivals that a seed does not
// reproduce.
func TestArrivals(t *testing.T) {
	const duration = 100 * time.Second
	phases := []experiment.Phase{{At: experiment.Duration(50 * time.Second), Factor: 3}}
	cases := map[string]struct {
		organisation experiment.Organisation
		want         float64
	}{
		"poisson": {experiment.Organisation{Rate: 50, Arrivals: "poisson", Sessions: 4}, 5000},
		"even":    {experiment.Organisation{Rate: 50, Arrivals: "even", Sessions: 4}, 5000},
		"bursts":  {experiment.Organisation{Rate: 50, Arrivals: "bursts", BurstSize: 5, Sessions: 4}, 5000},
		"phases":  {experiment.Organisation{Rate: 50, Arrivals: "poisson", Sessions: 4, Phases: phases}, 10000},
	}
	for name, test := range cases {
		test.organisation.ReadShare, test.organisation.TransactionShare = 0.9, 0.5
		arrivals := Arrivals(test.organisation, duration, 7, 1)
		if got := float64(len(arrivals)); math.Abs(got-test.want) > test.want/10 {
			t.Errorf("%s: %v arrivals, want about %v", name, got, test.want)
		}
		counts := map[Kind]float64{}
		for index, arrival := range arrivals {
			counts[arrival.Kind]++
			if index > 0 && arrival.At < arrivals[index-1].At || arrival.At >= duration || arrival.Session >= 4 {
				t.Fatalf("%s: arrival %+v", name, arrival)
			}
		}
		if share := counts[Read] / float64(len(arrivals)); math.Abs(share-0.9) > 0.03 || counts[Transaction] == 0 || counts[Write] == 0 {
			t.Errorf("%s: kinds %v", name, counts)
		}
		if !slices.Equal(arrivals, Arrivals(test.organisation, duration, 7, 1)) {
			t.Errorf("%s: the seed does not reproduce the arrivals", name)
		}
		if slices.Equal(arrivals, Arrivals(test.organisation, duration, 8, 1)) {
			t.Errorf("%s: another seed gives the same arrivals", name)
		}
	}
}
