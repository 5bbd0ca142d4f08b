package conf

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one error or warning about a settings file.
type Problem struct {
	File    string
	Line    int    // from 1
	Column  int    // from 1
	Field   string // such as processes[3].entry.public
	Text    string // what is wrong
	Allowed string // which values are valid
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

// Problems holds all errors of a settings file in file order.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// sorted returns the problems in file order without duplicates.
func sorted(p []Problem) []Problem {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return slices.Compact(p)
}
