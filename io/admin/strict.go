package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strings"
	"unicode/utf8"

	"corianderwing"
)

// maxBody bounds the body of a change, in bytes. The largest legal one is the
// root's settings with seats for 1,024 failure domains, about 72 KiB.
const maxBody = 128 << 10

func decodeBody(w http.ResponseWriter, r *http.Request, v any) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return corianderwing.Errorf(corianderwing.InvalidInput, "body is over %d bytes, allowed: at most %d", maxBody, maxBody)
	}
	if err != nil {
		return corianderwing.Errorf(corianderwing.BodyTruncated, "reading the body: %v", err)
	}
	return decodeStrict(data, v)
}

// decodeStrict decodes exactly one JSON value into v. It refuses what
// encoding/json lets pass and what is most often a mistake: unknown fields,
// fields in another case or given twice, invalid UTF-8, and trailing data.
func decodeStrict(data []byte, v any) error {
	if !utf8.Valid(data) {
		return corianderwing.Errorf(corianderwing.InvalidInput, "body is not valid UTF-8")
	}
	if err := checkNames(data); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return describe(err, v)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return corianderwing.Errorf(corianderwing.InvalidInput, "body has data after the JSON value, allowed: one value")
	}
	return nil
}

// level is an object or array that is being read.
type level struct {
	names map[string]bool // nil in an array
	name  bool            // the next token is a name
}

// checkNames refuses names that are given twice in one object or are not in
// lower case. encoding/json would take the last one and ignore the case.
func checkNames(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var open []*level
	for {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return badJSON(err)
		}
		top := len(open) - 1
		if name, ok := token.(string); ok && top >= 0 && open[top].name {
			if err := open[top].take(name); err != nil {
				return err
			}
			continue
		}
		switch token {
		case json.Delim('{'):
			open = append(open, &level{names: map[string]bool{}, name: true})
			continue
		case json.Delim('['):
			open = append(open, &level{})
			continue
		case json.Delim('}'), json.Delim(']'):
			open = open[:top]
		}
		// A value has ended; in an object, a name follows.
		if top = len(open) - 1; top >= 0 {
			open[top].name = open[top].names != nil
		}
	}
}

func (l *level) take(name string) error {
	l.name = false
	if name != strings.ToLower(name) {
		return corianderwing.Errorf(corianderwing.InvalidInput, "field %q is unknown, allowed: names in lower case", name)
	}
	if l.names[name] {
		return corianderwing.Errorf(corianderwing.InvalidInput, "field %q is given twice, allowed: once", name)
	}
	l.names[name] = true
	return nil
}

func badJSON(err error) error {
	return corianderwing.Errorf(corianderwing.InvalidInput, "body is not JSON: %v", err)
}

// describe turns an error of encoding/json into one that names the field and
// what is allowed.
func describe(err error, v any) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return corianderwing.Errorf(corianderwing.InvalidInput, "field %q is a %s, allowed: %s", wrong.Field, wrong.Value, typeName(wrong.Type))
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return corianderwing.Errorf(corianderwing.InvalidInput, "field %s is unknown, allowed: %s", name, strings.Join(fieldNames(reflect.TypeOf(v), ""), ", "))
	}
	return badJSON(err)
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Float64, reflect.Float32:
		return "a number"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	}
	if t.Kind() >= reflect.Int && t.Kind() <= reflect.Uint64 {
		return fmt.Sprintf("a whole number that fits %s", t.Kind())
	}
	return t.String()
}

// fieldNames returns the JSON names of a struct's fields, those of nested
// structs with the outer name in front.
func fieldNames(t reflect.Type, prefix string) []string {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || t.PkgPath() == "time" {
		return nil
	}
	var names []string
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case name == "-" || !f.IsExported():
		case f.Anonymous:
			names = append(names, fieldNames(f.Type, prefix)...)
		default:
			names = append(names, prefix+name)
			names = append(names, fieldNames(f.Type, prefix+name+".")...)
		}
	}
	return names
}
