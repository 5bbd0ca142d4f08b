package plane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/steer"
	"corianderwing/io/alloc"
)

// Guards against loans that come and go with each report: in a failure domain
// with three control instances, one sees the requests and two are idle. Taking
// the last report as the load of the domain lends its slots away and calls them
// back several times a second.
func TestLoadOfDomainWithIdleControls(t *testing.T) {
	is := is.New(t)
	l := newLeaderState(time.Second)
	l.revision = func() corianderwing.Revision { return 0 }
	l.regionOf = func(corianderwing.DomainID) corianderwing.RegionID { return "n" }
	now := time.Unix(1000, 0)
	busy := alloc.PoolLoad{Pool: "web", OwnSlots: 40, Demand: 60, ArrivalRate: 100}
	idle := alloc.PoolLoad{Pool: "web", OwnSlots: 40}
	for _, r := range []struct {
		replica corianderwing.InstanceID
		load    alloc.PoolLoad
	}{{"c-1", busy}, {"c-2", idle}, {"c-3", idle}} {
		l.recordReport(1, &reportRequest{Replica: r.replica, Domain: "n-a", Loads: []domainLoads{{"n-a", []alloc.PoolLoad{r.load}}}}, now)
	}
	is.Equal(l.loans.currentLoads(now), []steer.Load{{Pool: "web", Domain: "n-a", Region: "n", Slots: 40, Demand: 60, ArrivalRate: 100}})
}

// Guards against slots that two failure domains use at the same time: the control instance
// of the lender has lost the leader, ends its loans, and that of the borrower has not.
func TestLentSlotsOfLenderWithoutLeader(t *testing.T) {
	is := is.New(t)
	const slots = 5
	now := time.Unix(1000, 0)
	loans := []steer.UpstreamLoan{{Upstream: "1", Borrower: "b", Slots: 3}}
	lender := &Plane{loans: loans, confirmedAt: now.Add(-loansTTL - time.Millisecond)}
	borrower := &Plane{loans: loans, confirmedAt: now}
	lent, _ := lender.loanedSlots("a", now)
	_, borrowed := borrower.loanedSlots("b", now)
	is.True(slots-lent["1"]+borrowed["1"] <= slots)
}

// Guards against slots that two failure domains use at the same time after a loss of the
// leader: the control instance of the borrower was confirmed last, and its allocator ends
// the loan late. Guards as well against slots that nobody uses any more.
func TestLoansEndWithoutLeader(t *testing.T) {
	is := is.New(t)
	lost := time.Unix(1000, 0)
	loans := []steer.UpstreamLoan{{Upstream: "1", Borrower: "b", Slots: 3}}
	lender := &Plane{loans: loans, confirmedAt: lost.Add(-maxConfirmationAge)}
	borrower := &Plane{loans: loans, confirmedAt: lost}
	for age := time.Duration(0); age <= 2*loansTTL; age += 5 * time.Millisecond {
		lent, _ := lender.loanedSlots("a", lost.Add(age))
		_, borrowed := borrower.loanedSlots("b", lost.Add(age-loanEndDelay))
		is.True(borrowed["1"] <= lent["1"])
	}
	lent, _ := lender.loanedSlots("a", lost.Add(2*loansTTL))
	is.Equal(lent["1"], 0)
}
