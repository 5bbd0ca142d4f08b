package conf

import (
	"errors"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// unknownFields is a settings file with an unknown field in every object.
const unknownFields = `
zz: 1
regions: [{zz: 1}]
domains: [{zz: 1}]
links: [{zz: 1}]
groups: [{zz: 1}]
processes: [{zz: 1, control: {zz: 1}, entry: {zz: 1}}]
seed: {zz: 1, tree: [{zz: 1, keys: [{zz: 1}], services: [{zz: 1, routes: [{zz: 1}]}]}]}
stubs: [{zz: 1}]
log: {zz: 1}
`

// Guards against fields that docs/settings.md does not list, and against listed
// fields that the parser rejects.
func TestSettingsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/settings.md")
	is.NoErr(err)
	listed := map[string][]string{}
	row := regexp.MustCompile("(?m)^\\| `([a-z]+)` \\|")
	for _, section := range strings.Split(string(page), "\n## ")[1:] {
		title, text, _ := strings.Cut(section, "\n")
		for _, m := range row.FindAllStringSubmatch(text, -1) {
			listed[title] = append(listed[title], m[1])
		}
	}
	_, err = Parse("everywhere.yaml", []byte(unknownFields))
	var all Problems
	is.True(errors.As(err, &all))
	objects := 0
	index := regexp.MustCompile(`\[\d+\]`)
	for _, p := range all {
		if p.Text != "unknown field" {
			continue
		}
		objects++
		title := strings.TrimSuffix(index.ReplaceAllString(p.Field, ""), ".zz")
		if title == "zz" {
			title = "Top level"
		}
		allowed := strings.Split(p.Allowed, ", ")
		is.Equal(sortedCopy(listed[title]), sortedCopy(allowed)) // p.Field gives the title of the section
	}
	is.Equal(objects, len(listed))
}

func sortedCopy(names []string) string {
	return strings.Join(slices.Sorted(slices.Values(names)), " ")
}
