package state

import (
	"maps"
	"slices"

	"corianderwing"
)

// maxKeys bounds the keys of one workspace, revoked ones included.
const maxKeys = 10_000

// keys is an immutable table of keys. It is split by the first byte of the
// hash, so that a change copies one part in 256 of it.
type keys struct {
	parts *[256]map[corianderwing.KeyHash]corianderwing.Key
	ids   map[corianderwing.WorkspaceID]map[corianderwing.KeyID]corianderwing.KeyHash
}

func (k keys) find(h corianderwing.KeyHash) (corianderwing.Key, bool) {
	if k.parts == nil {
		return corianderwing.Key{}, false
	}
	key, ok := k.parts[h[0]][h]
	return key, ok
}

func (k keys) named(w corianderwing.WorkspaceID, id corianderwing.KeyID) (corianderwing.Key, bool) {
	h, ok := k.ids[w][id]
	if !ok {
		return corianderwing.Key{}, false
	}
	return k.find(h)
}

func (k keys) of(w corianderwing.WorkspaceID) []corianderwing.Key {
	all := make([]corianderwing.Key, 0, len(k.ids[w]))
	for _, id := range slices.Sorted(maps.Keys(k.ids[w])) {
		key, _ := k.find(k.ids[w][id])
		all = append(all, key)
	}
	return all
}

// all returns every key, by workspace and id.
func (k keys) all() []corianderwing.Key {
	var all []corianderwing.Key
	for _, w := range slices.Sorted(maps.Keys(k.ids)) {
		all = append(all, k.of(w)...)
	}
	return all
}

// put returns a table that has key.
func (k keys) put(key corianderwing.Key) keys {
	next := keys{parts: new([256]map[corianderwing.KeyHash]corianderwing.Key)}
	if k.parts != nil {
		*next.parts = *k.parts
	}
	part := key.Hash[0]
	next.parts[part] = with(next.parts[part], key.Hash, key)
	next.ids = with(k.ids, key.Workspace, with(k.ids[key.Workspace], key.ID, key.Hash))
	return next
}

// loadKeys returns a table of the given keys.
func loadKeys(all []corianderwing.Key) keys {
	if len(all) == 0 {
		return keys{}
	}
	k := keys{
		parts: new([256]map[corianderwing.KeyHash]corianderwing.Key),
		ids:   map[corianderwing.WorkspaceID]map[corianderwing.KeyID]corianderwing.KeyHash{},
	}
	for _, key := range all {
		part := key.Hash[0]
		if k.parts[part] == nil {
			k.parts[part] = map[corianderwing.KeyHash]corianderwing.Key{}
		}
		k.parts[part][key.Hash] = key
		if k.ids[key.Workspace] == nil {
			k.ids[key.Workspace] = map[corianderwing.KeyID]corianderwing.KeyHash{}
		}
		k.ids[key.Workspace][key.ID] = key.Hash
	}
	return k
}

// drop returns a table without the keys of a workspace.
func (k keys) drop(w corianderwing.WorkspaceID) keys {
	if len(k.ids[w]) == 0 {
		return k
	}
	var rest []corianderwing.Key
	for _, key := range k.all() {
		if key.Workspace != w {
			rest = append(rest, key)
		}
	}
	return loadKeys(rest)
}
