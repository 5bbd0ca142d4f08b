package tree

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"corianderwing"
)

// TestMain makes the randomized tests deterministic: without a seed on the command
// line they use seed 1.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

func mustParsePath(s string) corianderwing.Path {
	p, err := ParsePath(s)
	if err != nil {
		panic(err)
	}
	return p
}

// parseSettings decodes settings from JSON.
func parseSettings(t testing.TB, text string) *corianderwing.Settings {
	t.Helper()
	var s corianderwing.Settings
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		t.Fatal(err)
	}
	return &s
}

func buildTree(t testing.TB, steps [][2]string) *Tree {
	t.Helper()
	tr := New()
	for _, step := range steps {
		next, err := tr.Set(mustParsePath(step[0]), parseSettings(t, step[1]))
		if err != nil {
			t.Fatal(err)
		}
		tr = next
	}
	return tr
}

var sample = [][2]string{
	{"/", `{"slow": 300, "fixed": 0.25, "seats": {"th-north-1": 2, "th-north-2": 3}}`},
	{"reef", `{"rate": 50, "burst": 80}`},
	{"reef/order-desk", `{"wait": 100, "tries": 1}`},
	{"reef/order-desk/place", `{"once": true, "prefix": "/orders", "methods": ["POST"]}`},
	{"reef/order-desk/read", `{"slow": 900}`},
	{"reef/loom-files", `{"pool": "looms", "class": "urgent"}`},
	{"reef/loom-files/stitch", `{"prefix": "/stitch/urgent", "timeout": 150}`},
	{"reef/loom-files/bulk", `{"class": "bulk", "open": true}`},
	{"lagoon", `{"pool": "shared"}`},
	{"lagoon/motif-catalogue", `{}`},
}

// Guards against a field that is not inherited from the parent, or that is set by a
// sibling.
func TestInheritance(t *testing.T) {
	tr := buildTree(t, sample)
	var out bytes.Buffer
	for _, n := range tr.Nodes() {
		e, ok := tr.Effective(n.Path)
		if !ok {
			t.Fatalf("node %s has no effective settings", n.Path)
		}
		line, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s\n\t%s\n", n.Path, line)
	}
	goldie.New(t).Assert(t, "inheritance", out.Bytes())
}

// Guards against an error that reports only the first problem, or that lacks the
// field name or the allowed values.
func TestErrorMessages(t *testing.T) {
	steps := [][2]string{
		{"reef", `{"rate": 0, "burst": 0, "fixed": 1.5, "timeout": 0, "wait": 600001, "slow": -1}`},
		{"reef", `{"class": "fast", "tries": 6, "body": -1, "pool": "A", "prefix": "/", "methods": ["GET"], "seats": {"a": 1}}`},
		{"reef/order-desk", `{"rate": 1, "burst": 1, "fixed": 1}`},
		{"reef/order-desk/x", `{"prefix": "orders", "methods": ["GET", "get", "GET"]}`},
		{"reef/order-desk/x", `{"prefix": "/a/../b"}`},
		{"reef/order-desk/x", `{"prefix": "/a/"}`},
		{"reef/order-desk/x", `{"prefix": "/a%20b"}`},
		{"reef/order-desk/x", `{"prefix": "/orders", "tries": 0}`},
		{"reef/none/x", `{}`},
		{"none/order-desk", `{}`},
		{"/", `{"seats": {"A b": 300, "c": -1}}`},
	}
	tr := buildTree(t, sample)
	var out bytes.Buffer
	for _, step := range steps {
		_, err := tr.Set(mustParsePath(step[0]), parseSettings(t, step[1]))
		fmt.Fprintf(&out, "%s %s\n\t%v\n", step[0], step[1], err)
	}
	_, err := tr.Set(corianderwing.Path{Service: "s", Route: "R"}, nil)
	fmt.Fprintf(&out, "gap in the path, no settings\n\t%v\n", err)
	for _, p := range []string{"/", "none", "reef/none"} {
		_, err := tr.Delete(mustParsePath(p))
		fmt.Fprintf(&out, "drop %s\n\t%v\n", p, err)
	}
	for _, p := range []string{"a/b/c/d", "a//b", "/a", "A"} {
		_, err := ParsePath(p)
		fmt.Fprintf(&out, "parse %s\n\t%v\n", p, err)
	}
	goldie.New(t).Assert(t, "messages", out.Bytes())
}

// Guards against accepting NaN and infinities, which CBOR can encode and JSON
// cannot.
func TestRejectsNonFiniteNumbers(t *testing.T) {
	is := is.New(t)
	for _, f := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
		rate := corianderwing.TokensPerSecond(f)
		is.True(Check(mustParsePath("reef"), &corianderwing.Settings{Rate: &rate}) != nil)
		is.True(Check(mustParsePath("reef"), &corianderwing.Settings{Fixed: &f}) != nil)
	}
}

// Guards against a tree that changes when a caller modifies settings that it passed
// to the tree or received from it.
func TestSettingsAreCopied(t *testing.T) {
	is := is.New(t)
	s := parseSettings(t, `{"rate": 5, "methods": ["GET"], "seats": {"a": 1}}`)
	root, err := New().Set(mustParsePath("/"), parseSettings(t, `{"seats": {"a": 1}}`))
	is.NoErr(err)
	s.Methods, s.Seats = nil, nil
	tr, err := root.Set(mustParsePath("reef"), s)
	is.NoErr(err)
	*s.Rate = 9
	got, _ := tr.Node(mustParsePath("/"))
	got.Seats["a"] = 7
	own, _ := tr.Node(mustParsePath("reef"))
	is.Equal(*own.Rate, corianderwing.TokensPerSecond(5))
	is.Equal(tr.Seats("a"), 1)
}

// longestPrefixRoute is a reference implementation of Route: of all routes whose
// prefix matches whole segments of the path, the one with the longest prefix.
func longestPrefixRoute(tr *Tree, w, s, path string) *corianderwing.EffectiveSettings {
	var best *corianderwing.EffectiveSettings
	service := corianderwing.Path{Workspace: corianderwing.WorkspaceID(w), Service: corianderwing.ServiceID(s)}
	for _, r := range tr.Children(service) {
		e, _ := tr.Effective(child(service, r))
		hit := e.Prefix == "/" || path == e.Prefix || strings.HasPrefix(path, e.Prefix+"/")
		if hit && (best == nil || len(e.Prefix) > len(best.Prefix)) {
			best = e
		}
	}
	return best
}

var (
	segment = rapid.StringMatching(`[ab]{1,2}`)
	prefix  = rapid.Custom(func(t *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(segment, 0, 3).Draw(t, "segments"), "/")
	})
	anyPath = rapid.Custom(func(t *rapid.T) corianderwing.Path {
		all := []string{"/", "a", "b", "a/s", "a/u", "b/s", "a/s/1", "a/s/2", "a/s/3", "a/u/1", "b/s/1"}
		return mustParsePath(rapid.SampledFrom(all).Draw(t, "path"))
	})
)

func drawSettings(t *rapid.T, p corianderwing.Path) *corianderwing.Settings {
	s := &corianderwing.Settings{}
	if rapid.Bool().Draw(t, "slow?") {
		m := corianderwing.Millis(rapid.IntRange(1, 9).Draw(t, "slow"))
		s.Slow = &m
	}
	if depth(p) == routeLevel {
		pre := prefix.Draw(t, "prefix")
		s.Prefix = &pre
	}
	return s
}

// Guards against changes to the old tree (copy-on-write errors), effective values
// that differ from those of a freshly loaded tree, and route lookups that differ
// from the reference implementation.
func TestTreeIsImmutable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := New()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			before := dump(t, tr)
			p := anyPath.Draw(t, "at")
			var next *Tree
			var err error
			if rapid.IntRange(0, 4).Draw(t, "drop") == 0 {
				next, err = tr.Delete(p)
			} else {
				next, err = tr.Set(p, drawSettings(t, p))
			}
			if after := dump(t, tr); after != before {
				t.Fatalf("the old tree changed:\n%s\n%s", before, after)
			}
			if err == nil {
				tr = next
			}
			fresh, err := Load(tr.Nodes())
			if err != nil {
				t.Fatalf("loading %s: %v", dump(t, tr), err)
			}
			if dump(t, fresh) != dump(t, tr) {
				t.Fatalf("loaded and changed trees differ:\n%s\n%s", dump(t, fresh), dump(t, tr))
			}
			path := prefix.Draw(t, "lookup")
			got, _ := tr.Route("a", "s", path)
			if want := longestPrefixRoute(tr, "a", "s", path); got != want {
				t.Fatalf("route of %s: got %+v, want %+v", path, got, want)
			}
		}
	})
}

func dump(t *rapid.T, tr *Tree) string {
	var out strings.Builder
	for _, n := range tr.Nodes() {
		e, _ := tr.Effective(n.Path)
		line, err := json.Marshal([]any{n, e})
		if err != nil {
			t.Fatal(err)
		}
		out.Write(line)
		out.WriteByte('\n')
	}
	return out.String()
}

// Guards against heap allocations on the request path.
func TestRouteDoesNotAllocate(t *testing.T) {
	tr := buildTree(t, sample)
	n := testing.AllocsPerRun(100, func() {
		if _, ok := tr.Route("reef", "loom-files", "/stitch/urgent/17/a"); !ok {
			t.Fatal("no route")
		}
	})
	if n != 0 {
		t.Fatalf("Route allocates %v times", n)
	}
}

func BenchmarkRoute(b *testing.B) {
	tr := buildTree(b, sample)
	b.ReportAllocs()
	for b.Loop() {
		tr.Route("reef", "loom-files", "/stitch/urgent/17/a")
	}
}
