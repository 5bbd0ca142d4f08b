package conf

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// position is a location in the file, with the path of the field there.
type position struct {
	token *token.Token
	field string
}

// reader reads YAML nodes and collects the problems of one file.
type reader struct {
	file     string
	problems []Problem
	warnings []Problem
}

func (r *reader) fail(s position, allowed, format string, args ...any) {
	r.problems = append(r.problems, r.problem(s, allowed, format, args...))
}

func (r *reader) warn(s position, allowed, format string, args ...any) {
	r.warnings = append(r.warnings, r.problem(s, allowed, format, args...))
}

func (r *reader) problem(s position, allowed, format string, args ...any) Problem {
	p := Problem{File: r.file, Line: 1, Column: 1, Field: s.field, Text: fmt.Sprintf(format, args...), Allowed: allowed}
	if s.token != nil && s.token.Position != nil {
		p.Line = max(s.token.Position.Line, 1)
		p.Column = max(s.token.Position.Column, 1)
	}
	return p
}

// object is a mapping whose fields are read one by one. Fields that are never
// read are unknown fields.
type object struct {
	*reader
	position
	values map[string]ast.Node
	keys   []*ast.MappingValueNode
	known  []string
}

// object reads a mapping and reports duplicate fields.
func (r *reader) object(n ast.Node, at position) *object {
	o := &object{reader: r, position: at, values: map[string]ast.Node{}}
	m, ok := n.(*ast.MappingNode)
	if !ok {
		r.wrongType(n, at, "a mapping of fields")
		return nil
	}
	for _, v := range m.Values {
		name := v.Key.GetToken().Value
		if _, ok := o.values[name]; ok {
			r.fail(position{v.Key.GetToken(), o.fieldPath(name)}, "each field once", "field occurs twice")
			continue
		}
		o.values[name] = v.Value
		o.keys = append(o.keys, v)
	}
	return o
}

func (o *object) fieldPath(name string) string {
	if o.field == "" {
		return name
	}
	return o.field + "." + name
}

// at returns the position of a field's value, or of the object if the field is
// missing.
func (o *object) at(name string) position {
	if n := o.values[name]; n != nil {
		return position{n.GetToken(), o.fieldPath(name)}
	}
	return position{o.token, o.fieldPath(name)}
}

// has marks the field as known and reports whether it has a value.
func (o *object) has(name string) bool {
	if !slices.Contains(o.known, name) {
		o.known = append(o.known, name)
	}
	n, ok := o.values[name]
	if !ok {
		return false
	}
	if _, null := n.(*ast.NullNode); null || n == nil {
		o.fail(o.at(name), "", "field has no value")
		return false
	}
	return true
}

func (o *object) require(name, allowed string) bool {
	if o.has(name) {
		return true
	}
	if _, ok := o.values[name]; !ok {
		o.fail(o.at(name), allowed, "field is missing")
	}
	return false
}

// reportUnknown reports the fields that were never read.
func (o *object) reportUnknown() {
	for _, v := range o.keys {
		key := v.Key.GetToken()
		if !slices.Contains(o.known, key.Value) {
			o.fail(position{key, o.fieldPath(key.Value)}, strings.Join(o.known, ", "), "unknown field")
		}
	}
}

func (r *reader) wrongType(n ast.Node, at position, want string) {
	r.fail(at, want, "is %s", kindOf(n))
}

func kindOf(n ast.Node) string {
	switch n := n.(type) {
	case nil, *ast.NullNode:
		return "empty"
	case *ast.MappingNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode, *ast.LiteralNode:
		return "text"
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a number"
	case *ast.BoolNode:
		return "true or false"
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode, *ast.TagNode:
		return "an anchor, alias or tag, which this file does not support"
	default:
		return strings.ToLower(n.Type().String())
	}
}

// list calls f for each item of a list.
func (o *object) list(name string, f func(n ast.Node, at position)) {
	if !o.has(name) {
		return
	}
	seq, ok := o.values[name].(*ast.SequenceNode)
	if !ok {
		o.wrongType(o.values[name], o.at(name), "a list")
		return
	}
	for i, n := range seq.Values {
		field := fmt.Sprintf("%s[%d]", o.fieldPath(name), i)
		if n == nil {
			o.fail(position{seq.GetToken(), field}, "", "item is empty")
			continue
		}
		f(n, position{n.GetToken(), field})
	}
}

// objects calls f for each mapping in a list and reports unknown fields.
func (o *object) objects(name string, f func(item *object)) {
	o.list(name, func(n ast.Node, at position) {
		if item := o.object(n, at); item != nil {
			f(item)
			item.reportUnknown()
		}
	})
}

// child calls f for the mapping in a field, if the field is set.
func (o *object) child(name string, f func(c *object)) {
	if !o.has(name) {
		return
	}
	if c := o.object(o.values[name], o.at(name)); c != nil {
		f(c)
		c.reportUnknown()
	}
}

func (o *object) text(name, allowed string) (string, bool) {
	if !o.has(name) {
		return "", false
	}
	return o.scalar(o.values[name], o.at(name), allowed)
}

func (r *reader) scalar(n ast.Node, at position, allowed string) (string, bool) {
	s, ok := n.(*ast.StringNode)
	if !ok {
		r.wrongType(n, at, allowed)
		return "", false
	}
	return s.Value, true
}

// number reads a finite number in [lo, hi].
func (o *object) number(name string, lo, hi float64) (float64, bool) {
	if !o.has(name) {
		return 0, false
	}
	allowed := fmt.Sprintf("a number from %s to %s", formatNumber(lo), formatNumber(hi))
	n := o.values[name]
	switch n.(type) {
	case *ast.IntegerNode, *ast.FloatNode:
	default:
		o.wrongType(n, o.at(name), allowed)
		return 0, false
	}
	v, err := strconv.ParseFloat(n.GetToken().Value, 64)
	if err != nil || math.IsNaN(v) || v < lo || v > hi {
		o.fail(o.at(name), allowed, "is %s", n.GetToken().Value)
		return 0, false
	}
	return v, true
}

// integer reads a decimal integer in [lo, hi].
func (o *object) integer(name string, lo, hi int64) (int64, bool) {
	if !o.has(name) {
		return 0, false
	}
	allowed := fmt.Sprintf("a whole number from %d to %d", lo, hi)
	n := o.values[name]
	switch n.(type) {
	case *ast.IntegerNode, *ast.FloatNode:
	default:
		o.wrongType(n, o.at(name), allowed)
		return 0, false
	}
	v, err := strconv.ParseInt(n.GetToken().Value, 10, 64)
	if err != nil || v < lo || v > hi {
		o.fail(o.at(name), allowed, "is %s", n.GetToken().Value)
		return 0, false
	}
	return v, true
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func (o *object) boolean(name string) (value, ok bool) {
	if !o.has(name) {
		return false, false
	}
	b, ok := o.values[name].(*ast.BoolNode)
	if !ok {
		o.wrongType(o.values[name], o.at(name), "true or false")
		return false, false
	}
	return b.Value, true
}
