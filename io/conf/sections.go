package conf

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"corianderwing"
)

// Upper limits of numbers in a settings file. They catch wrong units, such as
// bytes instead of Mbit/s, and are well above the planned scale.
const (
	maxDelay = 10_000
	maxCap   = 1_000_000
	maxSeats = 256 // same as in core/tree
	maxCount = 1000
	maxSlots = 10_000
	maxConns = 100_000
)

const addressRule = "host:port with the host as IP number that other processes can reach and the port from 1 to 65535"

func (p *decoder) region(o *object) {
	r := Region{Name: corianderwing.RegionID(p.declare(o, "region", "name")), Delay: 0.5}
	r.Domains = convert[corianderwing.DomainID](p.ids(o, "domains", "domain"))
	if v, ok := o.number("delay", 0, maxDelay); ok {
		r.Delay = v
	}
	p.cfg.Regions = append(p.cfg.Regions, r)
}

func (p *decoder) domain(o *object) {
	d := Domain{Name: corianderwing.DomainID(p.declare(o, "domain", "name"))}
	d.Region = corianderwing.RegionID(p.readReference(o, "region", "region"))
	if o.require("seats", fmt.Sprintf("a whole number from 0 to %d", maxSeats)) {
		v, ok := o.integer("seats", 0, maxSeats)
		d.Seats = int(v)
		if ok {
			p.positions[fmt.Sprintf("seats/%s", d.Name)] = o.at("seats")
		}
	}
	p.cfg.Domains = append(p.cfg.Domains, d)
}

func (p *decoder) link(o *object) {
	l := Link{
		From: corianderwing.RegionID(p.readReference(o, "from", "region")),
		To:   corianderwing.RegionID(p.readReference(o, "to", "region")),
	}
	if o.require("delay", "a number of ms") {
		l.Delay, _ = o.number("delay", 0, maxDelay)
	}
	if o.require("cap", "a number of Mbit/s") {
		l.Cap, _ = o.number("cap", 0.001, maxCap)
	}
	p.cfg.Links = append(p.cfg.Links, l)
	if l.From == "" || l.To == "" {
		return
	}
	if l.From == l.To {
		p.fail(o.at("to"), "two different regions", "link from %q to itself", l.From)
		return
	}
	pair := []string{string(l.From), string(l.To)}
	slices.Sort(pair)
	key := "link/" + strings.Join(pair, "/")
	if first, ok := p.positions[key]; ok {
		p.fail(o.position, "one link for each pair of regions", "%s and %s are already linked by %s", pair[0], pair[1], first.field)
		return
	}
	p.positions[key] = o.position
}

func (p *decoder) group(o *object) {
	g := Group{Name: corianderwing.GroupID(p.declare(o, "group", "name"))}
	if o.require("voters", "a list of ids of processes with the control role") {
		g.Voters = convert[corianderwing.InstanceID](p.ids(o, "voters", "process"))
	}
	if seq, ok := o.values["voters"].(*ast.SequenceNode); ok && len(seq.Values) == 0 {
		p.fail(o.at("voters"), "an odd number of voters, such as 3", "group has no voters")
	}
	if n := len(g.Voters); n > 0 && n%2 == 0 {
		p.warn(o.at("voters"), "an odd number of voters, such as 3", "%d voters tolerate no more failures than %d", n, n-1)
	}
	p.positions[fmt.Sprintf("voters/%s", g.Name)] = o.at("voters")
	p.cfg.Groups = append(p.cfg.Groups, g)
}

func (p *decoder) process(o *object) {
	proc := Process{ID: corianderwing.InstanceID(p.declare(o, "process", "id"))}
	proc.Domain = corianderwing.DomainID(p.readReference(o, "domain", "domain"))
	o.child("control", func(c *object) {
		proc.Control = &Control{DataDir: p.data(c), PeerAddr: p.address(c, "peer", ""), AdminAddr: p.address(c, "admin", "")}
	})
	o.child("entry", func(e *object) {
		var shared string
		if proc.Control != nil {
			shared = proc.Control.PeerAddr
		}
		proc.Entry = &Entry{PublicAddr: p.address(e, "public", ""), InternalAddr: p.address(e, "inner", ""), PeerAddr: p.address(e, "peer", shared)}
	})
	if o.values["control"] == nil && o.values["entry"] == nil {
		p.fail(o.position, "control, entry or both", "process has no role")
	}
	p.cfg.Processes = append(p.cfg.Processes, proc)
}

// data reads the data directory of a process with the control role.
func (p *decoder) data(c *object) string {
	const rule = "a directory that no other process uses"
	if !c.require("data", rule) {
		return ""
	}
	dir, ok := c.text("data", rule)
	if !ok {
		return ""
	}
	if dir == "" {
		p.fail(c.at("data"), rule, "is empty")
		return ""
	}
	if first, taken := p.positions["data/"+dir]; taken {
		p.fail(c.at("data"), rule, "%q is already used by %s", dir, first.field)
	}
	p.positions["data/"+dir] = c.at("data")
	return dir
}

// address reads a required address that must be unique in the file. It may equal
// shared, because both roles of a process may use the same gRPC address.
func (p *decoder) address(o *object, name, shared string) string {
	if !o.require(name, addressRule) {
		return ""
	}
	s, ok := o.text(name, addressRule)
	if !ok {
		return ""
	}
	addr, ok := p.parseAddress(o, name, s)
	if !ok {
		return ""
	}
	if addr.String() != shared {
		p.registerAddress(o.at(name), addr)
	}
	return addr.String()
}

func (p *decoder) parseAddress(o *object, name, s string) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(s)
	if err != nil {
		p.fail(o.at(name), addressRule, "%q is not a valid address", s)
		return addr, false
	}
	ip := addr.Addr().Unmap()
	if addr.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		p.fail(o.at(name), addressRule, "%q cannot be reached", s)
		return addr, false
	}
	return netip.AddrPortFrom(ip, addr.Port()), true
}

func (p *decoder) registerAddress(at position, addr netip.AddrPort) {
	key := "address/" + addr.String()
	if first, ok := p.positions[key]; ok {
		p.fail(at, "each address once", "%s is already used by %s", addr, first.field)
		return
	}
	p.positions[key] = at
}

func (p *decoder) stub(o *object) {
	s := Stub{
		Pool:        corianderwing.PoolID(o.id("pool")),
		Domain:      corianderwing.DomainID(p.readReference(o, "domain", "domain")),
		Version:     "v1",
		Count:       1,
		Slots:       1,
		MaxConns:    300,
		ServiceTime: 10,
	}
	if o.values["version"] != nil {
		s.Version = corianderwing.VersionID(o.id("version"))
	}
	o.has("version")
	if v, ok := o.integer("count", 1, maxCount); ok {
		s.Count = int(v)
	}
	if v, ok := o.integer("slots", 1, maxSlots); ok {
		s.Slots = corianderwing.Slots(v)
	}
	if v, ok := o.integer("conns", 1, maxConns); ok {
		s.MaxConns = corianderwing.Conns(v)
	}
	if v, ok := o.number("time", 0, 60_000); ok {
		s.ServiceTime = v
	}
	s.ConnectTime, _ = o.number("connect", 0, 60_000)
	s.ProbeTime, _ = o.number("probe", 0, 60_000)
	size, _ := o.integer("size", 0, 64<<20)
	s.ResponseSize = int(size)
	s.Address = p.stubAddress(o, s.Count)
	p.cfg.Stubs = append(p.cfg.Stubs, s)
}

// stubAddress reads the first of count addresses that have consecutive ports.
func (p *decoder) stubAddress(o *object, count int) string {
	if !o.require("address", addressRule) {
		return ""
	}
	s, ok := o.text("address", addressRule)
	if !ok {
		return ""
	}
	addr, ok := p.parseAddress(o, "address", s)
	if !ok {
		return ""
	}
	if int(addr.Port())+count-1 > 65535 {
		p.fail(o.at("address"), addressRule, "%d ports from %s exceed 65535", count, addr)
		return ""
	}
	for i := range count {
		p.registerAddress(o.at("address"), netip.AddrPortFrom(addr.Addr(), addr.Port()+uint16(i)))
	}
	return addr.String()
}

func (p *decoder) log(o *object) {
	const rule = "debug, info, warn or error"
	level, ok := o.text("level", rule)
	if !ok {
		return
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, level) {
		p.fail(o.at("level"), rule, "is %q", level)
		return
	}
	p.cfg.Log.Level = level
}
