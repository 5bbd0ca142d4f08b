package conf

import (
	"fmt"
	"slices"
	"strings"

	"corianderwing"
)

// reference is a use of an id that is declared elsewhere in the file.
type reference struct {
	at   position
	kind string
	id   string
}

// readReference reads a required id of the given kind. The id is resolved after
// the whole file is read, so sections may come in any order.
func (p *decoder) readReference(o *object, name, kind string) string {
	s := o.id(name)
	if s != "" {
		p.refs = append(p.refs, reference{o.at(name), kind, s})
	}
	return s
}

// check validates references and the consistency between sections.
func (p *decoder) check() {
	for _, ref := range p.refs {
		if _, ok := p.positions[ref.kind+"/"+ref.id]; !ok {
			p.fail(ref.at, p.declared(ref.kind), "no %s %q", ref.kind, ref.id)
		}
	}
	p.checkSections()
	p.checkRegions()
	p.checkSeats()
	p.checkVoters()
	p.checkLinks()
	p.checkPools()
}

// declared lists the declared ids of a kind for an error message.
func (p *decoder) declared(kind string) string {
	var all []string
	for key := range p.positions {
		if id, ok := strings.CutPrefix(key, kind+"/"); ok {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	const most = 12
	if len(all) > most {
		all = append(all[:most], fmt.Sprintf("and %d more", len(all)-most))
	}
	if len(all) == 0 {
		return "the id of a declared " + kind
	}
	return strings.Join(all, ", ")
}

func (p *decoder) checkSections() {
	for _, name := range []string{"regions", "domains", "groups", "processes"} {
		if _, ok := p.values[name]; !ok {
			p.fail(p.at(name), "a list with at least one item", "field is missing")
		}
	}
}

// checkRegions checks that regions and domains agree: a domain that a region
// lists names that region, and the reverse.
func (p *decoder) checkRegions() {
	lists := map[corianderwing.DomainID]corianderwing.RegionID{}
	for _, r := range p.cfg.Regions {
		if r.Name == "" {
			continue
		}
		at := p.positions["region/"+string(r.Name)]
		for _, d := range r.Domains {
			lists[d] = r.Name
			if own := p.cfg.Region(d); own != "" && own != r.Name {
				p.fail(at, "the domains whose region is this one", "lists domain %q, which is in region %q", d, own)
			}
		}
	}
	for _, d := range p.cfg.Domains {
		_, known := p.positions["region/"+string(d.Region)]
		if d.Name != "" && known && lists[d.Name] == "" {
			p.fail(p.positions["domain/"+string(d.Name)], "a domain that its region lists in domains", "region %q does not list this domain", d.Region)
		}
	}
}

// checkSeats checks that every entry instance can get a seat. Without a seat it
// has no share of any limit and rejects requests whenever it cannot reach a
// grantor.
func (p *decoder) checkSeats() {
	entries := map[corianderwing.DomainID]int{}
	for _, proc := range p.cfg.Processes {
		if proc.Entry != nil {
			entries[proc.Domain]++
		}
	}
	for _, d := range p.cfg.Domains {
		at, ok := p.positions["seats/"+string(d.Name)]
		if n := entries[d.Name]; ok && d.Seats < n {
			p.fail(at, fmt.Sprintf("seats from %d to %d", n, maxSeats), "has %d seats for %d entry instances", d.Seats, n)
		}
	}
}

func (p *decoder) checkVoters() {
	for _, g := range p.cfg.Groups {
		at := p.positions["voters/"+string(g.Name)]
		for _, v := range g.Voters {
			if proc, ok := p.cfg.Process(v); ok && proc.Control == nil {
				p.fail(at, "processes with the control role", "process %q has no control role", v)
			}
		}
	}
}

// checkLinks warns about pairs of regions without a link. No load can be moved
// between them, which is rarely intended.
func (p *decoder) checkLinks() {
	for i, a := range p.cfg.Regions {
		for _, b := range p.cfg.Regions[i+1:] {
			pair := []string{string(a.Name), string(b.Name)}
			slices.Sort(pair)
			if _, ok := p.positions["link/"+strings.Join(pair, "/")]; !ok {
				p.warn(p.at("links"), "a link for each pair of regions", "no link between %s and %s", a.Name, b.Name)
			}
		}
	}
}

// checkPools warns about simulated upstreams that no service of the seed tree
// uses.
func (p *decoder) checkPools() {
	if len(p.cfg.Tree) == 0 {
		return
	}
	used := map[corianderwing.PoolID]bool{}
	for _, w := range p.cfg.Tree {
		for _, s := range w.Services {
			used[s.pool(w)] = true
			for _, r := range s.Routes {
				if r.Settings.Pool != nil {
					used[*r.Settings.Pool] = true
				}
			}
		}
	}
	for i, s := range p.cfg.Stubs {
		if s.Pool != "" && !used[s.Pool] {
			at := position{p.at("stubs").token, fmt.Sprintf("stubs[%d].pool", i)}
			p.warn(at, "the pool of a service in the seed tree", "no service uses pool %q", s.Pool)
		}
	}
}
