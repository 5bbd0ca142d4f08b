package conf

import "corianderwing"

// LinkCaps returns the caps of both directions of every link. The result depends
// only on the settings file, so it is the same in every process.
func (c *Config) LinkCaps() []corianderwing.LinkCap {
	var all []corianderwing.LinkCap
	for _, l := range c.Links {
		all = append(all, c.linkCap(l, l.From, l.To), c.linkCap(l, l.To, l.From))
	}
	return all
}

func (c *Config) linkCap(l Link, from, to corianderwing.RegionID) corianderwing.LinkCap {
	dir := corianderwing.LinkCap{From: from, To: to, Cap: l.BytesPerSecond(), Group: c.linkGroup(from)}
	for _, d := range c.Domains {
		if d.Region == from {
			dir.Domains = append(dir.Domains, d.Name)
		}
	}
	return dir
}

// linkGroup returns the group that grants the bandwidth of a region's outgoing
// links: the group with the most voters in the region, because its leader is
// probably near. Ties go to the lowest name, so the result does not depend on
// the order of the groups.
func (c *Config) linkGroup(from corianderwing.RegionID) corianderwing.GroupID {
	var best corianderwing.GroupID
	most := -1
	for _, g := range c.Groups {
		n := 0
		for _, v := range g.Voters {
			if p, ok := c.Process(v); ok && c.Region(p.Domain) == from {
				n++
			}
		}
		if n > most || n == most && g.Name < best {
			best, most = g.Name, n
		}
	}
	return best
}
