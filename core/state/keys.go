package state

import (
	"maps"
	"slices"

	"corianderwing"
)

// maxKeys is the maximum number of keys in a workspace, including revoked ones.
const maxKeys = 10_000

// keyTable is an immutable table of keys. It is sharded by the first byte of the
// hash, so that a change copies only one of 256 shards.
type keyTable struct {
	shards *[256]map[corianderwing.KeyHash]corianderwing.Key
	hashes map[corianderwing.WorkspaceID]map[corianderwing.KeyID]corianderwing.KeyHash
}

func (k keyTable) find(h corianderwing.KeyHash) (corianderwing.Key, bool) {
	if k.shards == nil {
		return corianderwing.Key{}, false
	}
	key, ok := k.shards[h[0]][h]
	return key, ok
}

func (k keyTable) findID(w corianderwing.WorkspaceID, id corianderwing.KeyID) (corianderwing.Key, bool) {
	h, ok := k.hashes[w][id]
	if !ok {
		return corianderwing.Key{}, false
	}
	return k.find(h)
}

func (k keyTable) inWorkspace(w corianderwing.WorkspaceID) []corianderwing.Key {
	all := make([]corianderwing.Key, 0, len(k.hashes[w]))
	for _, id := range slices.Sorted(maps.Keys(k.hashes[w])) {
		key, _ := k.find(k.hashes[w][id])
		all = append(all, key)
	}
	return all
}

// all returns all keys, sorted by workspace and id.
func (k keyTable) all() []corianderwing.Key {
	var all []corianderwing.Key
	for _, w := range slices.Sorted(maps.Keys(k.hashes)) {
		all = append(all, k.inWorkspace(w)...)
	}
	return all
}

// with returns a copy of the table in which key is added or replaced.
func (k keyTable) with(key corianderwing.Key) keyTable {
	next := keyTable{shards: new([256]map[corianderwing.KeyHash]corianderwing.Key)}
	if k.shards != nil {
		*next.shards = *k.shards
	}
	shard := key.Hash[0]
	next.shards[shard] = withKey(next.shards[shard], key.Hash, key)
	next.hashes = withKey(k.hashes, key.Workspace, withKey(k.hashes[key.Workspace], key.ID, key.Hash))
	return next
}

func newKeyTable(all []corianderwing.Key) keyTable {
	if len(all) == 0 {
		return keyTable{}
	}
	k := keyTable{
		shards: new([256]map[corianderwing.KeyHash]corianderwing.Key),
		hashes: map[corianderwing.WorkspaceID]map[corianderwing.KeyID]corianderwing.KeyHash{},
	}
	for _, key := range all {
		shard := key.Hash[0]
		if k.shards[shard] == nil {
			k.shards[shard] = map[corianderwing.KeyHash]corianderwing.Key{}
		}
		k.shards[shard][key.Hash] = key
		if k.hashes[key.Workspace] == nil {
			k.hashes[key.Workspace] = map[corianderwing.KeyID]corianderwing.KeyHash{}
		}
		k.hashes[key.Workspace][key.ID] = key.Hash
	}
	return k
}

// removeWorkspace returns a copy of the table without the keys of a workspace.
func (k keyTable) removeWorkspace(w corianderwing.WorkspaceID) keyTable {
	if len(k.hashes[w]) == 0 {
		return k
	}
	var rest []corianderwing.Key
	for _, key := range k.all() {
		if key.Workspace != w {
			rest = append(rest, key)
		}
	}
	return newKeyTable(rest)
}
