package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Names of the desired state.
const (
	host    = "gallery.example"
	service = "showroom"
	path    = "/prints/"
)

// table is a list of items in the form of Config.Patch.
type table struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// tenant is a tenant of the desired state.
type tenant struct {
	name        string
	keys        []string
	rate, burst int
}

// routeTable returns a table with one route.
func routeTable(kind, timeout string, public bool, homes []string, version string) table {
	if homes == nil {
		homes = []string{}
	}
	return table{
		Columns: []string{"name", "host", "pathPrefix", "kind", "timeout", "targetLatency", "priority", "split", "maxAttempts", "public", "sticky", "homeRegions", "version", "service"},
		Rows:    [][]any{{"r-prints", host, path, kind, timeout, "2000ms", 1, nil, 2, public, false, homes, version, service}},
	}
}

func tenantTable(list []tenant, version string) table {
	t := table{Columns: []string{"name", "apiKeys", "priority", "ratePerS", "burst", "homeRegions", "version"}, Rows: [][]any{}}
	for _, x := range list {
		t.Rows = append(t.Rows, []any{x.name, x.keys, 1, x.rate, x.burst, []string{}, version})
	}
	return t
}

func serviceTable(version string) table {
	return table{
		Columns: []string{"name", "healthPath", "maxConns", "protocol", "tls", "coldStart", "coldPerS", "version"},
		Rows:    [][]any{{service, "/health", 330, "h1", false, "3s", 3.2, version}},
	}
}

// patch sends a change of the desired state until it is acknowledged.
func (f *fleet) patch(upsert map[string]any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	status, text, err := f.call(ctx, http.MethodPost, "/Config.Patch", map[string]any{"upsert": upsert})
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("Config.Patch: status %d: %s", status, text)
	}
	f.rec.note("a change of the desired state is acknowledged")
	return nil
}

// firstState returns the first desired state.
func firstState(kind, timeout string, public bool, tenants []tenant) map[string]any {
	return map[string]any{
		"routes":   routeTable(kind, timeout, public, nil, "r1"),
		"tenants":  tenantTable(tenants, "r1"),
		"services": serviceTable("r1"),
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms", "version": "r1"},
	}
}

// open starts the deployment with its servers and brings the first desired state in.
func (f *fleet) open(state map[string]any, servers, slots int, work func(*http.Request) time.Duration) ([]*server, error) {
	if err := f.startAll(); err != nil {
		return nil, err
	}
	var list []*server
	for i := range servers {
		s, err := startServer(f, i, service, zones[i%len(zones)][0], slots, work)
		if err != nil {
			return list, err
		}
		list = append(list, s)
	}
	if err := f.patch(state); err != nil {
		return list, err
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return list, err
	}
	time.Sleep(2 * time.Second)
	return list, nil
}

func closeServers(list []*server) {
	for _, s := range list {
		s.close()
	}
}
