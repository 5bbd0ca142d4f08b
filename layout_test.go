package corianderwing

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// importAllowed reports whether a file in dir may import path. Packages in core must
// not depend on sockets, files or adapters; the root package must not import any
// other package of the module.
func importAllowed(dir, path string) bool {
	switch {
	case strings.HasPrefix(dir, "core"+string(filepath.Separator)):
		return !strings.HasPrefix(path, "corianderwing/io") && path != "net/http" && path != "net" && path != "os"
	case dir == ".":
		return !strings.HasPrefix(path, "corianderwing/")
	}
	return true
}

// Guards against a core package that depends on an adapter and therefore cannot
// be simulated in virtual time.
func TestImportDirection(t *testing.T) {
	is := is.New(t)
	err := filepath.WalkDir(".", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, imp := range f.Imports {
			path, _ := strconv.Unquote(imp.Path.Value)
			if !importAllowed(filepath.Dir(name), path) {
				t.Errorf("%s imports %s", name, path)
			}
		}
		return nil
	})
	is.NoErr(err)
}

// Guards against package names that are not 4 to 6 letters long.
func TestPackageNames(t *testing.T) {
	is := is.New(t)
	for _, pattern := range []string{"core/*", "io/*"} {
		dirs, err := filepath.Glob(pattern)
		is.NoErr(err)
		for _, dir := range dirs {
			if n := len(filepath.Base(dir)); n < 4 || n > 6 {
				t.Errorf("%s: the name has %d letters", dir, n)
			}
		}
	}
}
