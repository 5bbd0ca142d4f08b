package conf

import (
	"fmt"

	"corianderwing"
)

// SeedCommands returns the commands that create the seed tree's workspaces of a
// group and their keys. Parents come before children. The request ids depend
// only on the file, so applying the commands again changes nothing.
func (c *Config) SeedCommands(g corianderwing.GroupID) []corianderwing.Command {
	var all []corianderwing.Command
	set := func(p corianderwing.Path, s corianderwing.Settings) {
		all = append(all, corianderwing.Command{Kind: corianderwing.SetNode, Path: p, Settings: &s})
	}
	for _, w := range c.Tree {
		if w.HomeGroup != g {
			continue
		}
		p := corianderwing.Path{Workspace: w.Name}
		set(p, w.Settings)
		for _, s := range w.Services {
			p.Service, p.Route = s.Name, ""
			set(p, s.Settings)
			for _, r := range s.Routes {
				p.Route = r.Name
				set(p, r.Settings)
			}
		}
		for _, k := range w.Keys {
			key := &corianderwing.Key{ID: k.Name, Workspace: w.Name, Hash: corianderwing.HashKey(c.Secret, k.Key)}
			all = append(all, corianderwing.Command{Kind: corianderwing.AddKey, Key: key})
		}
	}
	for i := range all {
		all[i].Request = corianderwing.RequestID(fmt.Sprintf("seed-%s-%d", g, i))
		all[i].Operator = "seed"
	}
	return all
}

// FirstSeedKey returns the first seed key of a workspace, for test deployments.
func (c *Config) FirstSeedKey(w corianderwing.WorkspaceID) (string, bool) {
	for _, ws := range c.Tree {
		if ws.Name == w && len(ws.Keys) > 0 {
			return ws.Keys[0].Key, true
		}
	}
	return "", false
}
