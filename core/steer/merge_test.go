package steer

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against underestimating the load of a failure domain while its entry
// instances are divided between two control instances, and against counting
// the upstreams of a domain once for each of its control instances.
func TestMergeAddsDividedLoad(t *testing.T) {
	is := is.New(t)
	a := Load{Pool: "web", Domain: "n-a", Region: "n", Slots: 40, Demand: 30, ArrivalRate: 60}
	b := Load{Pool: "web", Domain: "n-a", Region: "n", Slots: 35, Demand: 10, ArrivalRate: 20}
	is.Equal(Merge([]Load{a, b}), []Load{{Pool: "web", Domain: "n-a", Region: "n", Slots: 40, Demand: 40, ArrivalRate: 80}})
}
