package model

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"corianderwing"
	"corianderwing/core/crash"
	"corianderwing/core/items"
)

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

// newEncMode returns a deterministic encoding mode, because replicas compare
// encoded snapshots.
func newEncMode() cbor.EncMode {
	o := cbor.CoreDetEncOptions()
	o.Time = cbor.TimeRFC3339NanoUTC
	m, err := o.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

// newDecMode returns a decoding mode without the library's limits on the number
// of array and map elements, which the state of a large deployment exceeds.
func newDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

// Encode returns the binary encoding of a command.
func Encode(c *Command) ([]byte, error) { return encMode.Marshal(c) }

// Decode decodes a command that Encode returned.
func Decode(data []byte) (*Command, error) {
	c := new(Command)
	if err := decMode.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	return c, nil
}

// viewSnapshot is the encoded form of a View.
type viewSnapshot struct {
	Revision        corianderwing.Revision                           `json:"revision"`
	Items           items.Saved                                      `json:"items"`
	Upstreams       []savedUpstream                                  `json:"upstreams,omitempty"`
	Tombstones      []UpstreamRef                                    `json:"gone,omitempty"`
	Expired         []UpstreamRef                                    `json:"expired,omitempty"`
	Evacuated       []corianderwing.DomainID                         `json:"evacuated,omitempty"`
	Moves           []corianderwing.Move                             `json:"moves,omitempty"`
	CurrentVersions map[corianderwing.PoolID]corianderwing.VersionID `json:"versions,omitempty"`
	Suspects        []crash.Saved                                    `json:"suspects,omitempty"`
	LastShortID     uint32                                           `json:"number"`
}

// savedUpstream is the encoded form of an Upstream.
type savedUpstream struct {
	Announcement
	ShortID uint32 `json:"no"`
}

// Save encodes the view as a snapshot. The remaining warm-up times are those at
// now.
func (v *View) Save(now time.Time) ([]byte, error) {
	s := viewSnapshot{
		Revision:        v.revision,
		Items:           v.items.Save(),
		Evacuated:       slices.Sorted(maps.Keys(v.evacuated)),
		CurrentVersions: v.currentVersions,
		Suspects:        v.suspects.Save(),
		LastShortID:     v.lastShortID,
		Tombstones:      v.tombstones.list(),
		Expired:         v.expired.list(),
	}
	for _, id := range sortedKeys(v.upstreams) {
		u := v.upstreams[id]
		su := savedUpstream{ShortID: u.ShortID}
		su.Upstream = u.Upstream
		if left := u.WarmupUntil.Sub(now).Milliseconds(); left > 0 {
			su.WarmupRemaining = corianderwing.Millis(left)
		}
		s.Upstreams = append(s.Upstreams, su)
	}
	for _, p := range sortedKeys(v.moves) {
		s.Moves = append(s.Moves, v.moves[p])
	}
	return encMode.Marshal(s)
}

// Load decodes a snapshot that Save returned. The remaining warm-up times count
// from now.
func Load(data []byte, now time.Time) (*View, error) {
	var s viewSnapshot
	if err := decMode.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	v := New()
	v.revision, v.lastShortID, v.items = s.Revision, s.LastShortID, items.Load(s.Items)
	v.suspects = crash.Load(s.Suspects, now)
	maps.Copy(v.currentVersions, s.CurrentVersions)
	for _, su := range s.Upstreams {
		v.upstreams[su.ID] = newUpstream(&su.Announcement, su.ShortID, now)
	}
	v.tombstones, v.expired = rememberedFrom(s.Tombstones), rememberedFrom(s.Expired)
	for _, d := range s.Evacuated {
		v.evacuated[d] = true
	}
	for _, m := range s.Moves {
		v.moves[m.Pool] = m
	}
	return v, nil
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
