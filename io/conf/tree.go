package conf

import (
	"fmt"
	"path"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"corianderwing"
	"corianderwing/core/tree"
)

// Workspace is a workspace of the seed tree.
type Workspace struct {
	Name      corianderwing.WorkspaceID
	HomeGroup corianderwing.GroupID
	Settings  corianderwing.Settings
	Services  []Service
	Keys      []SeedKey
}

// Service is a service of the seed tree.
type Service struct {
	Name     corianderwing.ServiceID
	Settings corianderwing.Settings
	Routes   []Route
}

// Route is a route of the seed tree.
type Route struct {
	Name     corianderwing.RouteID
	Settings corianderwing.Settings
}

// SeedKey is an API key that a workspace has from the start. It is meant for
// test deployments. In other deployments, operators add keys through their API
// and no file contains them.
type SeedKey struct {
	Name corianderwing.KeyID
	Key  string
}

func (s Service) pool(w Workspace) corianderwing.PoolID {
	switch {
	case s.Settings.Pool != nil:
		return *s.Settings.Pool
	case w.Settings.Pool != nil:
		return *w.Settings.Pool
	default:
		return corianderwing.PoolID(s.Name)
	}
}

// minKey is the minimum length of a seed key in bytes.
const minKey = 8

func (p *decoder) seed(o *object) {
	o.objects("tree", p.workspace)
}

func (p *decoder) workspace(o *object) {
	w := Workspace{
		Name:      corianderwing.WorkspaceID(p.declare(o, "workspace", "name")),
		HomeGroup: corianderwing.GroupID(p.readReference(o, "home", "group")),
	}
	o.rateLimit(&w.Settings)
	o.settings(&w.Settings)
	p.checkNode(o, corianderwing.Path{Workspace: w.Name}, &w.Settings)
	o.objects("services", func(s *object) { w.Services = append(w.Services, p.service(s, w.Name)) })
	o.objects("keys", func(k *object) { w.Keys = append(w.Keys, p.seedKey(k)) })
	p.cfg.Tree = append(p.cfg.Tree, w)
}

func (p *decoder) service(o *object, w corianderwing.WorkspaceID) Service {
	s := Service{Name: corianderwing.ServiceID(p.declare(o, fmt.Sprintf("service/%s", w), "name"))}
	o.settings(&s.Settings)
	p.checkNode(o, corianderwing.Path{Workspace: w, Service: s.Name}, &s.Settings)
	o.objects("routes", func(r *object) { s.Routes = append(s.Routes, p.route(r, w, s)) })
	return s
}

func (p *decoder) route(o *object, w corianderwing.WorkspaceID, s Service) Route {
	below := fmt.Sprintf("%s/%s", w, s.Name)
	r := Route{Name: corianderwing.RouteID(p.declare(o, "route/"+below, "name"))}
	o.settings(&r.Settings)
	p.prefix(o, &r.Settings, below)
	o.methods(&r.Settings)
	p.checkNode(o, corianderwing.Path{Workspace: w, Service: s.Name, Route: r.Name}, &r.Settings)
	return r
}

// checkNode reports settings that pass the checks of single fields but that the
// control groups would reject.
func (p *decoder) checkNode(o *object, path corianderwing.Path, s *corianderwing.Settings) {
	if path.Workspace == "" || path.Service == "" && path.Route != "" {
		return // reported as a missing id
	}
	if err := tree.Check(path, s); err != nil {
		p.fail(o.position, "", "%v", err)
	}
}

func (p *decoder) seedKey(o *object) SeedKey {
	rule := fmt.Sprintf("text of %d bytes or more that no other key has", minKey)
	k := SeedKey{Name: corianderwing.KeyID(p.declare(o, "key", "name"))}
	if !o.require("key", rule) {
		return k
	}
	text, ok := o.text("key", rule)
	if !ok {
		return k
	}
	if len(text) < minKey {
		p.fail(o.at("key"), rule, "has %d bytes", len(text))
	}
	if first, taken := p.positions["secret/"+text]; taken {
		p.fail(o.at("key"), rule, "is already used by %s", first.field)
	}
	p.positions["secret/"+text] = o.at("key")
	k.Key = text
	return k
}

// prefix reads the path prefix of a route, which must be unique within the
// service.
func (p *decoder) prefix(o *object, s *corianderwing.Settings, below string) {
	const rule = "a clean path that starts with / and does not end with one"
	text := "/"
	if o.has("prefix") {
		var ok bool
		if text, ok = o.text("prefix", rule); !ok {
			return
		}
		if !strings.HasPrefix(text, "/") || path.Clean(text) != text {
			p.fail(o.at("prefix"), rule, "is %q", text)
			return
		}
		s.Prefix = &text
	}
	key := "prefix/" + below + text
	if first, taken := p.positions[key]; taken {
		p.fail(o.at("prefix"), "one route for each prefix of a service", "prefix %q is already used by %s", text, first.field)
		return
	}
	p.positions[key] = o.at("prefix")
}

var allMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (o *object) methods(s *corianderwing.Settings) {
	rule := strings.Join(allMethods, ", ")
	o.list("methods", func(n ast.Node, at position) {
		m, ok := o.scalar(n, at, rule)
		switch {
		case !ok:
		case !slices.Contains(allMethods, m):
			o.fail(at, rule, "is %q", m)
		case slices.Contains(s.Methods, m):
			o.fail(at, "each method once", "%s occurs twice", m)
		default:
			s.Methods = append(s.Methods, m)
		}
	})
}

// rateLimit reads the rate limit fields, which apply to a workspace as a whole.
func (o *object) rateLimit(s *corianderwing.Settings) {
	if v, ok := o.number("rate", 0.001, 1e9); ok {
		s.Rate = new(corianderwing.TokensPerSecond(v))
	}
	if v, ok := o.integer("burst", 1, 1e9); ok {
		s.Burst = new(corianderwing.Tokens(v))
	}
	if v, ok := o.number("fixed", 0, 1); ok {
		s.Fixed = &v
	}
}

// settings reads the fields that are allowed at every level of the tree.
func (o *object) settings(s *corianderwing.Settings) {
	if v, ok := o.boolean("open"); ok {
		s.Public = &v
	}
	if o.has("pool") {
		s.Pool = new(corianderwing.PoolID(o.id("pool")))
	}
	o.class(s)
	if v, ok := o.boolean("once"); ok {
		s.AtMostOnce = &v
	}
	s.Timeout = o.millis("timeout")
	s.Wait = o.millis("wait")
	s.Slow = o.millis("slow")
	if v, ok := o.integer("tries", 1, 5); ok {
		s.MaxAttempts = new(int(v))
	}
	if v, ok := o.integer("body", 0, 1<<30); ok {
		s.Body = new(corianderwing.Bytes(v))
	}
}

func (o *object) class(s *corianderwing.Settings) {
	const rule = "urgent, normal or bulk"
	text, ok := o.text("class", rule)
	if !ok {
		return
	}
	c := corianderwing.Class(text)
	if c != corianderwing.Urgent && c != corianderwing.Normal && c != corianderwing.Bulk {
		o.fail(o.at("class"), rule, "is %q", text)
		return
	}
	s.Class = &c
}

func (o *object) millis(name string) *corianderwing.Millis {
	v, ok := o.integer(name, 1, 600_000)
	if !ok {
		return nil
	}
	return new(corianderwing.Millis(v))
}
