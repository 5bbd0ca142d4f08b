package items

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"corianderwing"
)

func rule(name string, v corianderwing.Version, pool string) corianderwing.Rule {
	return corianderwing.Rule{
		Name: corianderwing.RouteID(name), Version: v, Host: "shop.example", Prefix: "/" + name + "/", Timeout: 1000,
		Targets: []corianderwing.Target{{Pool: corianderwing.PoolID(pool), Weight: 1}},
	}
}

func policy(name string, v corianderwing.Version, keys ...string) corianderwing.WorkspacePolicy {
	return corianderwing.WorkspacePolicy{Name: corianderwing.WorkspaceID(name), Version: v, Keys: keys}
}

// baseSet returns a set with two pools, a rule and a workspace policy.
func baseSet(t *testing.T) *Set {
	t.Helper()
	s, err := New().Merge(corianderwing.Edit{
		Rules:             []corianderwing.Rule{rule("r", 3, "files")},
		WorkspacePolicies: []corianderwing.WorkspacePolicy{policy("mvule", 3, "k1")},
		Pools:             []corianderwing.Pool{{Name: "files", Version: 3}, {Name: "orders", Version: 3}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against an invalid edit that is applied in part, and against one that is
// rejected without a code or message.
func TestInvalidEditChangesNothing(t *testing.T) {
	is := is.New(t)
	s := baseSet(t)
	before := s.All()
	change := func(f func(*corianderwing.Rule)) corianderwing.Edit {
		r := rule("r", 4, "orders")
		f(&r)
		return corianderwing.Edit{Rules: []corianderwing.Rule{rule("ok", 4, "orders"), r}}
	}
	for name, c := range map[string]struct {
		edit corianderwing.Edit
		code corianderwing.Code
	}{
		"unknown pool": {change(func(r *corianderwing.Rule) { r.Targets[0].Pool = "nothing" }), corianderwing.InvalidChange},
		"no host":      {change(func(r *corianderwing.Rule) { r.Host = "" }), corianderwing.InvalidChange},
		"no timeout":   {change(func(r *corianderwing.Rule) { r.Timeout = 0 }), corianderwing.InvalidChange},
		"no slash":     {change(func(r *corianderwing.Rule) { r.Prefix = "x/" }), corianderwing.InvalidChange},
		"below zero":   {change(func(r *corianderwing.Rule) { r.Targets[0].Weight = -1 }), corianderwing.InvalidChange},
		"shared key":   {corianderwing.Edit{WorkspacePolicies: []corianderwing.WorkspacePolicy{policy("other", 4, "k1")}}, corianderwing.InvalidChange},
		"same version": {corianderwing.Edit{Rules: []corianderwing.Rule{rule("r", 3, "orders")}}, corianderwing.RevisionConflict},
		"pool in use":  {corianderwing.Edit{Deletions: []corianderwing.Deletion{{Kind: corianderwing.PoolItem, Name: "files", Version: 9}}}, corianderwing.InvalidChange},
		"stale delete": {corianderwing.Edit{Deletions: []corianderwing.Deletion{{Kind: corianderwing.RuleItem, Name: "r", Version: 3}}}, corianderwing.RevisionConflict},
	} {
		next, err := s.Merge(c.edit)
		is.True(next == nil) // name
		if corianderwing.CodeOf(err) != c.code || err.Error() == "" {
			t.Errorf("%s: %v", name, err)
		}
		is.Equal(s.All(), before)
	}
}

// Guards against deleted or outdated items that reappear: of all changes to an item,
// deletions included, the one with the highest version is in force, in whatever
// order and however often they arrive.
func TestHighestVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type state struct {
			version corianderwing.Version
			pool    string
			deleted bool
		}
		newest := map[string]state{}
		var edits []corianderwing.Edit
		for i := range rapid.IntRange(1, 12).Draw(t, "edits") {
			name := fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "name"))
			change := state{corianderwing.Version(i + 1), rapid.SampledFrom([]string{"files", "orders"}).Draw(t, "pool"), rapid.Bool().Draw(t, "drop")}
			newest[name] = change
			if change.deleted {
				edits = append(edits, corianderwing.Edit{Deletions: []corianderwing.Deletion{{Kind: corianderwing.RuleItem, Name: name, Version: change.version}}})
			} else {
				edits = append(edits, corianderwing.Edit{Rules: []corianderwing.Rule{rule(name, change.version, change.pool)}})
			}
		}
		edits = append(edits, edits...)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		r.Shuffle(len(edits), func(i, j int) { edits[i], edits[j] = edits[j], edits[i] })
		s, err := New().Merge(corianderwing.Edit{Pools: []corianderwing.Pool{{Name: "files", Version: 1}, {Name: "orders", Version: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		for i, e := range edits {
			next, err := s.Merge(e)
			if err != nil {
				t.Fatalf("edit %d: %v", i, err)
			}
			s = next
			if i%3 == 0 {
				s = Load(s.Save()) // a restart
			}
		}
		for name, want := range newest {
			held, ok := s.MatchRule("shop.example", "/"+name+"/7")
			if ok == want.deleted || ok && (held.Version != want.version || string(held.Targets[0].Pool) != want.pool) {
				t.Fatalf("%s: %+v held, %+v newest", name, held, want)
			}
		}
	})
}

// Guards against keys that are not checked any more once the last workspace policy
// is deleted, so that withdrawn and invented keys run requests (review/3), and against
// keys that are required although no workspace policy was ever in force.
func TestKeysRequiredAfterLastPolicyIsDeleted(t *testing.T) {
	is := is.New(t)
	edit := func(s *Set, e corianderwing.Edit) *Set {
		t.Helper()
		next, err := s.Merge(e)
		is.NoErr(err)
		is.Equal(Load(next.Save()).KeysRequired(), next.KeysRequired()) // the same after a snapshot
		return next
	}
	deletion := func(name string, v corianderwing.Version) corianderwing.Edit {
		return corianderwing.Edit{Deletions: []corianderwing.Deletion{{Kind: corianderwing.WorkspacePolicyItem, Name: name, Version: v}}}
	}
	put := func(p corianderwing.WorkspacePolicy) corianderwing.Edit {
		return corianderwing.Edit{WorkspacePolicies: []corianderwing.WorkspacePolicy{p}}
	}

	s := edit(New(), corianderwing.Edit{Pools: []corianderwing.Pool{{Name: "files", Version: 1}}})
	is.True(!s.KeysRequired())
	s = edit(s, deletion("nobody", 2))
	is.True(!s.KeysRequired()) // never in force
	s = edit(s, put(policy("nobody", 1, "k0")))
	is.True(!s.KeysRequired()) // its deletion is newer

	s = edit(s, put(policy("mvule", 3, "k1")))
	is.True(s.KeysRequired())
	s = edit(s, put(policy("mvule", 4)))
	is.True(s.KeysRequired()) // without any key
	s = edit(s, deletion("mvule", 5))
	is.True(s.KeysRequired())
	_, ok := s.PolicyByKey("k1")
	is.True(!ok)
	s = edit(s, deletion("mvule", 7)) // deleted once more
	is.True(s.KeysRequired())
	s = edit(s, put(policy("mvule", 9, "k1")))
	is.True(s.KeysRequired())

	// Saved by a version that did not tell whether a policy was in force.
	old := Saved{Deletions: []corianderwing.Deletion{{Kind: corianderwing.WorkspacePolicyItem, Name: "mvule", Version: 5}}}
	is.True(Load(old).KeysRequired())
	is.True(!Load(Saved{}).KeysRequired())
}

// Guards against a request that matches a rule with a shorter prefix, or one of a
// host whose name only begins the same.
func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	s, err := baseSet(t).Merge(corianderwing.Edit{Rules: []corianderwing.Rule{rule("r/in", 4, "orders")}})
	is.NoErr(err)
	for path, want := range map[string]corianderwing.RouteID{"/r/x": "r", "/r/in/x": "r/in", "/r/in": "r", "/other/": ""} {
		r, ok := s.MatchRule("shop.example", path)
		is.Equal(ok, want != "")
		if ok {
			is.Equal(r.Name, want)
		}
	}
	_, ok := s.MatchRule("shop.example.org", "/r/x")
	is.True(!ok)
}
