// Package conf reads the settings file of a deployment. One YAML file
// describes all processes; each process selects its part by instance id.
//
// Parse validates the whole file and reports all errors at once, each with its
// position, its field and the allowed values.
package conf

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"corianderwing"
)

// Config is the content of a valid settings file.
type Config struct {
	Name       string // file name, used in messages
	Secret     []byte // shared by all processes; key of the hashes of API keys
	SecretFile string // file that Load read Secret from
	Regions    []Region
	Domains    []Domain
	Links      []Link
	Groups     []Group
	Processes  []Process
	Tree       []Workspace
	Stubs      []Stub
	Log        Log
	Warnings   []Problem // valid settings that are probably mistakes
}

// Region is a set of failure domains with a low delay between them.
type Region struct {
	Name    corianderwing.RegionID
	Domains []corianderwing.DomainID
	Delay   float64 // one-way delay between its failure domains, in ms
}

// Domain is a failure domain.
type Domain struct {
	Name   corianderwing.DomainID
	Region corianderwing.RegionID
	Seats  int // seats for entry instances; limits are divided among them
}

// Link connects two regions in both directions.
type Link struct {
	From  corianderwing.RegionID
	To    corianderwing.RegionID
	Delay float64 // one-way delay, in ms
	Cap   float64 // per direction, in Mbit/s
}

// BytesPerSecond returns the cap of the link per direction.
func (l Link) BytesPerSecond() corianderwing.BytesPerSecond {
	return corianderwing.BytesPerSecond(l.Cap * 1e6 / 8)
}

// Group is a control group with its initial voters.
type Group struct {
	Name   corianderwing.GroupID
	Voters []corianderwing.InstanceID
}

// Process is one process of the deployment. At least one of the roles Control
// and Entry is set.
type Process struct {
	ID      corianderwing.InstanceID
	Domain  corianderwing.DomainID
	Control *Control
	Entry   *Entry
}

// Control holds the settings of the control role.
type Control struct {
	DataDir   string // data directory, relative to the working directory of the process
	PeerAddr  string // gRPC address
	AdminAddr string // address of the operator API
}

// Entry holds the settings of the entry role.
type Entry struct {
	PublicAddr   string // address for callers
	InternalAddr string // address for forwarding between entry instances
	PeerAddr     string // gRPC address
}

// Stub describes the simulated upstreams of one pool in one failure domain.
type Stub struct {
	Pool         corianderwing.PoolID
	Domain       corianderwing.DomainID
	Version      corianderwing.VersionID
	Count        int
	Slots        corianderwing.Slots
	MaxConns     corianderwing.Conns
	ServiceTime  float64 // mean service time, in ms
	ConnectTime  float64 // time to set up a new connection, in ms
	ProbeTime    float64 // time to answer a health probe, in ms
	ResponseSize int     // response size in bytes
	Address      string  // address of the first one; the others use the following ports
}

// Log holds the logging settings.
type Log struct {
	Level string // debug, info, warn or error
}

// maxSize bounds a settings file. The example deployments take about 12 KB.
const maxSize = 1 << 20

// Load reads and validates a settings file and the secret file that it names.
// If the content is invalid, the error is of type Problems.
func Load(path string) (*Config, error) {
	data, err := readSmall(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	cfg, err := Parse(path, data)
	if err != nil {
		return nil, err
	}
	if cfg.SecretFile == "" {
		return cfg, nil
	}
	if !filepath.IsAbs(cfg.SecretFile) {
		cfg.SecretFile = filepath.Join(filepath.Dir(path), cfg.SecretFile)
	}
	secret, err := readSmall(cfg.SecretFile)
	if err != nil {
		return nil, fmt.Errorf("read secret: %w", err)
	}
	cfg.Secret = bytes.TrimSpace(secret)
	if len(cfg.Secret) < minSecret {
		return nil, fmt.Errorf("secret in %s has %d bytes, allowed: %d or more", cfg.SecretFile, len(cfg.Secret), minSecret)
	}
	return cfg, nil
}

func readSmall(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxSize {
		return nil, fmt.Errorf("%s has %d bytes, allowed: %d", path, info.Size(), maxSize)
	}
	return os.ReadFile(path)
}

// Process returns the process with the given id.
func (c *Config) Process(id corianderwing.InstanceID) (Process, bool) {
	for _, p := range c.Processes {
		if p.ID == id {
			return p, true
		}
	}
	return Process{}, false
}

// Region returns the region of a failure domain, or "" if the domain is
// unknown.
func (c *Config) Region(d corianderwing.DomainID) corianderwing.RegionID {
	for _, domain := range c.Domains {
		if domain.Name == d {
			return domain.Region
		}
	}
	return ""
}

// HomeGroup returns the home group of a workspace of the seed tree.
func (c *Config) HomeGroup(w corianderwing.WorkspaceID) (corianderwing.GroupID, bool) {
	for _, ws := range c.Tree {
		if ws.Name == w {
			return ws.HomeGroup, true
		}
	}
	return "", false
}

// VoterGroups returns the groups in which a process is a voter.
func (c *Config) VoterGroups(id corianderwing.InstanceID) []Group {
	var hosted []Group
	for _, g := range c.Groups {
		for _, v := range g.Voters {
			if v == id {
				hosted = append(hosted, g)
				break
			}
		}
	}
	return hosted
}

// Delay returns the one-way delay between two failure domains in ms. ok is
// false if their regions have no link.
func (c *Config) Delay(a, b corianderwing.DomainID) (ms float64, ok bool) {
	from, to := c.Region(a), c.Region(b)
	if a == b {
		return 0, true
	}
	if from == to {
		for _, r := range c.Regions {
			if r.Name == from {
				return r.Delay, true
			}
		}
	}
	for _, l := range c.Links {
		if l.From == from && l.To == to || l.From == to && l.To == from {
			return l.Delay, true
		}
	}
	return 0, false
}
