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

// maxBody is the maximum body size, in bytes. The largest valid body is the
// root's settings with seats for 1,024 failure domains, about 72 KiB.
const maxBody = 128 << 10

func decodeBody(w http.ResponseWriter, r *http.Request, v any) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return corianderwing.Errorf(corianderwing.InvalidInput, "body is over %d bytes, allowed: at most %d", maxBody, maxBody)
	}
	if err != nil {
		return corianderwing.Errorf(corianderwing.BodyTruncated, "reading the body: %v", err)
	}
	return decodeStrict(data, v)
}

// decodeStrict decodes exactly one JSON value into v. It rejects likely
// mistakes that encoding/json accepts: unknown fields, duplicate field names,
// names in another case, invalid UTF-8, and trailing data.
func decodeStrict(data []byte, v any) error {
	if !utf8.Valid(data) {
		return corianderwing.Errorf(corianderwing.InvalidInput, "body is not valid UTF-8")
	}
	if err := checkFieldNames(data); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return decodeError(err, v)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return corianderwing.Errorf(corianderwing.InvalidInput, "body has data after the JSON value, allowed: one value")
	}
	return nil
}

// jsonScope is an open object or array.
type jsonScope struct {
	names      map[string]bool // nil in an array
	expectName bool            // the next token is a field name
}

// checkFieldNames rejects duplicate field names in an object and names that are
// not in lower case. encoding/json would use the last duplicate and ignore case.
func checkFieldNames(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var scopes []*jsonScope
	for {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return invalidJSON(err)
		}
		top := len(scopes) - 1
		if name, ok := token.(string); ok && top >= 0 && scopes[top].expectName {
			if err := scopes[top].addName(name); err != nil {
				return err
			}
			continue
		}
		switch token {
		case json.Delim('{'):
			scopes = append(scopes, &jsonScope{names: map[string]bool{}, expectName: true})
			continue
		case json.Delim('['):
			scopes = append(scopes, &jsonScope{})
			continue
		case json.Delim('}'), json.Delim(']'):
			scopes = scopes[:top]
		}
		// After a complete value, an object expects a field name.
		if top = len(scopes) - 1; top >= 0 {
			scopes[top].expectName = scopes[top].names != nil
		}
	}
}

func (l *jsonScope) addName(name string) error {
	l.expectName = false
	if name != strings.ToLower(name) {
		return corianderwing.Errorf(corianderwing.InvalidInput, "field %q is unknown, allowed: names in lower case", name)
	}
	if l.names[name] {
		return corianderwing.Errorf(corianderwing.InvalidInput, "field %q is given twice, allowed: once", name)
	}
	l.names[name] = true
	return nil
}

func invalidJSON(err error) error {
	return corianderwing.Errorf(corianderwing.InvalidInput, "body is not JSON: %v", err)
}

// decodeError converts an error of encoding/json into one that names the field
// and the allowed values.
func decodeError(err error, v any) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return corianderwing.Errorf(corianderwing.InvalidInput, "field %q is a %s, allowed: %s", typeErr.Field, typeErr.Value, typeName(typeErr.Type))
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return corianderwing.Errorf(corianderwing.InvalidInput, "field %s is unknown, allowed: %s", name, strings.Join(fieldNames(reflect.TypeOf(v), ""), ", "))
	}
	return invalidJSON(err)
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

// fieldNames returns the JSON names of a struct's fields. Fields of nested
// structs are prefixed with the outer name.
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
