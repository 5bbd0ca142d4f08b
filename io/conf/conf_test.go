package conf

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"corianderwing"
)

// Guards against example files that differ from the numbers on the design page.
func TestExamplesLoad(t *testing.T) {
	for name, slots := range map[string]int{"threadworks": 14*5 + 12*3 + 16*4, "mvule": 12*3 + 12*3 + 12*4} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cfg, err := Load("../../examples/" + name + ".yaml")
			is.NoErr(err)
			is.Equal(len(cfg.Warnings), 0)
			is.Equal(len(cfg.Regions), 3)
			is.Equal(len(cfg.Domains), 6)
			is.Equal(len(cfg.Groups), 3)
			is.Equal(len(cfg.Tree), 8)
			var entry, control, sum int
			for _, p := range cfg.Processes {
				if p.Entry != nil {
					entry++
				}
				if p.Control != nil {
					control++
				}
			}
			for _, s := range cfg.Stubs {
				sum += s.Count * int(s.Slots)
			}
			is.Equal(entry, 12)
			is.Equal(control, 6)
			is.Equal(sum, slots)
			seeded := 0
			for _, g := range cfg.Groups {
				seeded += len(cfg.SeedCommands(g.Name))
			}
			is.True(seeded >= 8*(1+3+6+1)) // workspace, services, routes, key
		})
	}
}

// Guards against messages without a position, field or allowed values, and
// against validation that stops at the first error.
func TestErrorTexts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no test files", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			cfg, err := Parse(filepath.Base(file), data)
			var text strings.Builder
			if err != nil {
				text.WriteString(err.Error() + "\n")
			} else {
				for _, w := range cfg.Warnings {
					text.WriteString("warning: " + w.Error() + "\n")
				}
			}
			goldie.New(t).Assert(t, name, []byte(text.String()))
		})
	}
}

// Guards against a secret file that is read from the wrong directory, and against
// accepting one that is too short or missing.
func TestSecretFile(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	data, err := os.ReadFile("../../examples/mvule.yaml")
	is.NoErr(err)
	text := strings.Replace(string(data), "secret: mvule-trial-secret-not-for-production", "secretfile: fleet.key", 1)
	path := filepath.Join(dir, "mvule.yaml")
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	_, err = Load(path)
	is.True(errors.Is(err, os.ErrNotExist))
	is.NoErr(os.WriteFile(filepath.Join(dir, "fleet.key"), []byte("short\n"), 0o600))
	_, err = Load(path)
	is.True(err != nil)
	is.NoErr(os.WriteFile(filepath.Join(dir, "fleet.key"), []byte("0123456789abcdef\n"), 0o600))
	cfg, err := Load(path)
	is.NoErr(err)
	is.Equal(string(cfg.Secret), "0123456789abcdef")
}

// Guards against lookups that return wrong addresses, delays or groups.
func TestLookups(t *testing.T) {
	is := is.New(t)
	cfg, err := Load("../../examples/threadworks.yaml")
	is.NoErr(err)
	p, ok := cfg.Process("th-north-a-1")
	is.True(ok)
	is.Equal(p.Entry.PublicAddr, "127.0.0.1:21100")
	is.Equal(len(cfg.VoterGroups("th-north-a-c")), 2) // the groups of its own region and of th-south
	ms, ok := cfg.Delay("th-north-a", "th-south-b")
	is.True(ok)
	is.Equal(ms, 12.0)
	ms, _ = cfg.Delay("th-north-a", "th-north-b")
	is.Equal(ms, 0.5)
	home, _ := cfg.HomeGroup("krabi-cove")
	is.Equal(home, corianderwing.GroupID("th-south"))
	is.Equal(cfg.Links[0].BytesPerSecond(), corianderwing.BytesPerSecond(500_000_000))
}

// Guards against panics, and against problems without a position or text.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.yaml")
	for _, file := range append(files, "../../examples/mvule.yaml") {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := Parse("fuzz.yaml", data)
		if (cfg == nil) == (err == nil) {
			t.Fatal("need either a config or an error")
		}
		var all Problems
		if err != nil && !errors.As(err, &all) {
			t.Fatalf("error of type %T", err)
		}
		for _, p := range all {
			if p.Line < 1 || p.Column < 1 || p.Text == "" {
				t.Fatalf("incomplete problem: %+v", p)
			}
		}
	})
}
