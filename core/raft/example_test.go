package raft_test

import "fmt"

// The topology of the Threadworks deployment. The failure domains of a region are
// numbered region*2 and region*2+1.
const (
	regions    = 3
	domains    = 2 * regions
	workspaces = 8
	homeShare  = 70 // percent of a workspace's traffic that comes from its home region
	awayShare  = 15 // percent from each other region
	keyedShare = 80 // percent of traffic on keyed routes
)

// partitioning assigns each failure domain to a side of a network partition.
// Domains reach only those with the same number; a lost one has domainLost.
type partitioning [domains]int

const domainLost = -1

// reachesMajority reports whether an entry instance in domain d can reach a leader
// of the group, that is, whether a majority of the voters is on its side.
func (l partitioning) reachesMajority(d int, voters []int) bool {
	n := 0
	for _, v := range voters {
		if l[v] != domainLost && l[v] == l[d] {
			n++
		}
	}
	return 2*n > len(voters)
}

// rejectedPercent returns the percentage of requests that are refused because
// their key cannot be confirmed. Callers in lost domains are not counted.
func (l partitioning) rejectedPercent(voters func(home int) []int) float64 {
	refused, all := 0, 0
	for w := range workspaces {
		home := w % regions
		for d := range domains {
			share := awayShare
			if d/2 == home {
				share = homeShare
			}
			if l[d] == domainLost {
				continue
			}
			all += share * 100
			if !l.reachesMajority(d, voters(home)) {
				refused += share * keyedShare
			}
		}
	}
	return 100 * float64(refused) / float64(all)
}

// PartitionCases returns the kinds of failure and, for each kind, one case per
// failure domain or region that it can affect.
func PartitionCases() (names []string, cases [][]partitioning) {
	var domain, region, lost []partitioning
	for d := range domains {
		var l partitioning
		l[d] = 1
		domain = append(domain, l)
	}
	for r := range regions {
		var cut, out partitioning
		cut[2*r], cut[2*r+1] = 1, 1
		out[2*r], out[2*r+1] = domainLost, domainLost
		region, lost = append(region, cut), append(lost, out)
	}
	apart := partitioning{0, 0, 1, 1, 2, 2}
	return []string{"one domain partitioned off", "one region partitioned off", "all regions apart", "one region lost"},
		[][]partitioning{domain, region, {apart}, lost}
}

// ExamplePartitionCases computes the share of requests that are refused because
// no majority of the workspace's group is reachable, for two placements of the
// groups: (a) one group with a voter in each region; (b) one group per region,
// with voters in both failure domains of the region and one in the next region.
//
// Assumptions: the 8 workspaces have equal traffic, and their home regions are
// assigned round-robin (3, 3 and 2). The traffic of a region comes evenly from
// both its domains. Callers reach only the entry instances on their own side of a
// partition; the sides are separated completely and for longer than a freshness
// lease. Only keyed routes need a confirmation. Requests that fail for other
// reasons, such as those of callers in a lost region, are not counted. Each figure
// is the mean and the worst over the domains or regions that can be affected.
func ExamplePartitionCases() {
	oneGroup := func(int) []int { return []int{0, 2, 4} }
	homeGroup := func(home int) []int {
		next := (home + 1) % regions
		return []int{2 * home, 2*home + 1, 2 * next}
	}
	names, cases := PartitionCases()
	fmt.Println("refused, mean (worst)          (a) one group    (b) home groups")
	for k, name := range names {
		fmt.Printf("%-28s", name)
		for _, voters := range []func(int) []int{oneGroup, homeGroup} {
			sum, worst := 0.0, 0.0
			for _, l := range cases[k] {
				v := l.rejectedPercent(voters)
				sum += v
				worst = max(worst, v)
			}
			fmt.Printf("   %4.1f%% (%4.1f%%)", sum/float64(len(cases[k])), worst)
		}
		fmt.Println()
	}
	// Output:
	// refused, mean (worst)          (a) one group    (b) home groups
	// one domain partitioned off     13.3% (14.2%)   13.3% (14.2%)
	// one region partitioned off     26.7% (28.5%)   16.0% (16.5%)
	// all regions apart              80.0% (80.0%)   24.0% (24.0%)
	// one region lost                 0.0% ( 0.0%)   12.1% (14.0%)
}
