package tree

import (
	"fmt"
	"strings"

	"corianderwing"
)

// depth returns the depth of p. If an ID in the middle is missing, it is the depth
// of the lowest ID; checkPath reports the missing one.
func depth(p corianderwing.Path) int {
	switch {
	case p.Route != "":
		return routeLevel
	case p.Service != "":
		return serviceLevel
	case p.Workspace != "":
		return workspaceLevel
	}
	return rootLevel
}

// ids returns the IDs of p, starting with the workspace.
func ids(p corianderwing.Path) []string {
	all := []string{string(p.Workspace), string(p.Service), string(p.Route)}
	return all[:depth(p)]
}

func lastID(p corianderwing.Path) string {
	return ids(p)[depth(p)-1]
}

func parent(p corianderwing.Path) corianderwing.Path {
	switch depth(p) {
	case routeLevel:
		p.Route = ""
	case serviceLevel:
		p.Service = ""
	case workspaceLevel:
		p.Workspace = ""
	}
	return p
}

func child(p corianderwing.Path, id string) corianderwing.Path {
	switch depth(p) {
	case rootLevel:
		p.Workspace = corianderwing.WorkspaceID(id)
	case workspaceLevel:
		p.Service = corianderwing.ServiceID(id)
	case serviceLevel:
		p.Route = corianderwing.RouteID(id)
	}
	return p
}

// ParsePath parses the format of Path.String: "/" or "" for the root, otherwise
// workspace, workspace/service or workspace/service/route. It fails with an
// InvalidInput error that names the invalid part.
func ParsePath(s string) (corianderwing.Path, error) {
	var p corianderwing.Path
	if s == "" || s == "/" {
		return p, nil
	}
	parts := strings.Split(s, "/")
	if len(parts) > routeLevel {
		return p, corianderwing.Errorf(corianderwing.InvalidInput,
			"path %q has %d parts, allowed: workspace/service/route", s, len(parts))
	}
	for _, part := range parts {
		if !corianderwing.ValidID(part) {
			return corianderwing.Path{}, corianderwing.Errorf(corianderwing.InvalidInput,
				"path %q: part %q is no id, allowed: %s", s, part, idFormat)
		}
		p = child(p, part)
	}
	return p, nil
}

func notFound(p corianderwing.Path) error {
	kinds := [...]string{"root", "workspace", "service", "route"}
	return corianderwing.Errorf(corianderwing.NotFound, "%s %s does not exist", kinds[depth(p)], p)
}

var idFormat = fmt.Sprintf("1 to %d lower-case letters, digits, dots and hyphens, starting with a letter or digit",
	corianderwing.MaxIDLen)
