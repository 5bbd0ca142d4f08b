package model

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"corianderwing"
	"corianderwing/core/items"
)

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

// mustEncoding returns a deterministic encoding: replicas compare snapshots.
func mustEncoding() cbor.EncMode {
	o := cbor.CoreDetEncOptions()
	o.Time = cbor.TimeRFC3339NanoUTC
	m, err := o.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

// mustDecoding returns a decoding without the library's limit on elements,
// which a large site exceeds.
func mustDecoding() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

// Encode returns a command in the form that Decode takes.
func Encode(c *Command) ([]byte, error) { return encoding.Marshal(c) }

// Decode reverses Encode.
func Decode(data []byte) (*Command, error) {
	c := new(Command)
	if err := decoding.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("decoding a command: %w", err)
	}
	return c, nil
}

// saved is the encoded form of a View.
type saved struct {
	Revision  corianderwing.Revision                           `json:"revision"`
	Items     items.Saved                                      `json:"items"`
	Upstreams []kept                                           `json:"upstreams,omitempty"`
	Gone      []UpstreamRef                                    `json:"gone,omitempty"`
	Evacuated []corianderwing.DomainID                         `json:"evacuated,omitempty"`
	Moves     []corianderwing.Move                             `json:"moves,omitempty"`
	Versions  map[corianderwing.PoolID]corianderwing.VersionID `json:"versions,omitempty"`
	Number    uint32                                           `json:"number"`
}

type kept struct {
	Announcement
	No uint32 `json:"no"`
}

// Save encodes the view at now.
func (v *View) Save(now time.Time) ([]byte, error) {
	s := saved{
		Revision:  v.revision,
		Items:     v.items.Save(),
		Evacuated: slices.Sorted(maps.Keys(v.evacuated)),
		Versions:  v.versions,
		Number:    v.number,
	}
	for _, id := range sortedKeys(v.upstreams) {
		u := v.upstreams[id]
		k := kept{No: u.ShortID}
		k.Upstream = u.Upstream
		if left := u.WarmupUntil.Sub(now).Milliseconds(); left > 0 {
			k.WarmupLeft = corianderwing.Millis(left)
		}
		s.Upstreams = append(s.Upstreams, k)
	}
	for _, id := range v.order {
		s.Gone = append(s.Gone, UpstreamRef{ID: id, Incarnation: v.gone[id]})
	}
	for _, p := range sortedKeys(v.moves) {
		s.Moves = append(s.Moves, v.moves[p])
	}
	return encoding.Marshal(s)
}

// Load decodes what Save returned, at now.
func Load(data []byte, now time.Time) (*View, error) {
	var s saved
	if err := decoding.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("decoding a snapshot: %w", err)
	}
	v := New()
	v.revision, v.number, v.items = s.Revision, s.Number, items.Load(s.Items)
	maps.Copy(v.versions, s.Versions)
	for _, k := range s.Upstreams {
		u := &Upstream{Upstream: k.Upstream, ShortID: k.No}
		if k.WarmupLeft > 0 {
			u.WarmupUntil = k.WarmupLeft.After(now)
		}
		v.upstreams[u.ID] = u
	}
	for _, l := range s.Gone {
		v.gone[l.ID] = l.Incarnation
		v.order = append(v.order, l.ID)
	}
	for _, d := range s.Evacuated {
		v.evacuated[d] = true
	}
	for _, m := range s.Moves {
		v.moves[m.Pool] = m
	}
	v.index()
	return v, nil
}

// sortedKeys returns the keys of m in order.
func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
