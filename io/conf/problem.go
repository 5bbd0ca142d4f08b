package conf

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault in a settings file.
type Problem struct {
	File    string
	Line    int    // from 1
	Column  int    // from 1
	Field   string // such as processes[3].entry.public
	Text    string // what is wrong
	Allowed string // what would be right
}

// Error returns the problem on one line.
func (p Problem) Error() string {
	s := fmt.Sprintf("%s:%d:%d: ", p.File, p.Line, p.Column)
	if p.Field != "" {
		s += p.Field + ": "
	}
	s += p.Text
	if p.Allowed != "" {
		s += "; allowed: " + p.Allowed
	}
	return s
}

// Problems are all faults of one settings file, in the order of the file.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// sorted returns the problems in the order of the file, each one once.
func sorted(p []Problem) []Problem {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return slices.Compact(p)
}
