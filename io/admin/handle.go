package admin

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"corianderwing"
)

// Change holds the fields common to all changes. PUT and POST carry them in the
// body, DELETE in the query.
type Change struct {
	Group    corianderwing.GroupID   `json:"group,omitempty"` // default: the home group of the workspace, or the only group
	Base     *corianderwing.Revision `json:"base,omitempty"`  // the revision that a tree change or move is based on
	Request  corianderwing.RequestID `json:"request"`         // idempotency key: a repeated id gets the first response
	Operator string                  `json:"operator,omitempty"`
}

// Accepted is the response to a committed change, which a majority of the group
// has synced to disk.
type Accepted struct {
	Group     corianderwing.GroupID  `json:"group"`
	Revision  corianderwing.Revision `json:"revision"`
	Duplicate bool                   `json:"again,omitempty"` // the request id was seen before
}

// maxOperatorLen is the maximum length of an operator's name, in bytes.
const maxOperatorLen = 64

func (c *Change) check(in *input) {
	if !corianderwing.ValidID(string(c.Request)) {
		in.invalid("request", string(c.Request), "an id")
	}
	if len(c.Operator) > maxOperatorLen {
		in.invalid("operator", c.Operator, "at most 64 bytes")
	}
}

func (c *Change) requireBase(in *input) {
	if c.Base == nil {
		in.problems = append(in.problems, "base is missing, allowed: the revision that the change was made from")
	}
}

// fromQuery reads the change from the query of a DELETE request.
func (c *Change) fromQuery(in *input) {
	c.Group = corianderwing.GroupID(in.query("group"))
	c.Request = corianderwing.RequestID(in.query("request"))
	c.Operator = in.query("operator")
	if text := in.query("base"); text != "" {
		base := corianderwing.Revision(in.number("base", text))
		c.Base = &base
	}
	c.check(in)
}

// command returns the command for a change, without its payload.
func (c *Change) command(k corianderwing.CommandKind) corianderwing.Command {
	cmd := corianderwing.Command{Request: c.Request, Operator: c.Operator, Kind: k}
	if c.Base != nil {
		cmd.Base = *c.Base
	}
	return cmd
}

// requestReader is a request type that decodes itself from an HTTP request.
type requestReader[T any] interface {
	*T
	read(in *input)
}

// handle returns a handler that decodes a request, calls f and writes the result
// as JSON, or the error as a corianderwing.Error with the code's HTTP status.
func handle[Req, Res any, P requestReader[Req]](f func(context.Context, *Req) (Res, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		in := newInput(w, r)
		req := new(Req)
		P(req).read(in)
		if err := in.err(); err != nil {
			writeError(w, err)
			return
		}
		res, err := f(r.Context(), req)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, res)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"code":406,"run":"unknown","detail":"encoding the response failed"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// writeError writes an error response. Errors without a code become Internal
// without their text, which may contain file names or addresses.
func writeError(w http.ResponseWriter, err error) {
	var e *corianderwing.Error
	switch {
	case errors.As(err, &e):
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		e = corianderwing.Errorf(corianderwing.NoQuorum, "timed out; retry with the same request id")
	default:
		e = corianderwing.Errorf(corianderwing.Internal, "")
	}
	status := e.Code.Status()
	if status == 0 {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Cw-Code", strconv.Itoa(int(e.Code)))
	writeJSON(w, status, e)
}

// input decodes the parts of an HTTP request and collects all validation errors.
type input struct {
	w         http.ResponseWriter
	r         *http.Request
	values    url.Values
	known     map[string]bool // query parameters read so far
	problems  []string
	decodeErr error // of the body or the path; its code may differ from InvalidInput
}

func newInput(w http.ResponseWriter, r *http.Request) *input {
	in := &input{w: w, r: r, known: map[string]bool{}}
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		in.problems = append(in.problems, "the query cannot be parsed")
	}
	in.values = values
	return in
}

func (in *input) invalid(field, got, allowed string) {
	in.problems = append(in.problems, field+" is "+strconv.Quote(got)+", allowed: "+allowed)
}

// query returns a query parameter, or "" if it is absent.
func (in *input) query(name string) string {
	in.known[name] = true
	if len(in.values[name]) > 1 {
		in.problems = append(in.problems, name+" is given more than once, allowed: once")
	}
	return in.values.Get(name)
}

// id returns a path parameter, which must be an id.
func (in *input) id(name string) string {
	id := in.r.PathValue(name)
	if !corianderwing.ValidID(id) {
		in.invalid(name, id, "an id")
	}
	return id
}

func (in *input) number(name, text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		in.invalid(name, text, "a whole number from 0")
	}
	return n
}

func (in *input) time(name string) time.Time {
	text := in.query(name)
	if text == "" {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		in.invalid(name, text, "a time as 2006-01-02T15:04:05Z")
	}
	return t
}

// body decodes the JSON body into v.
func (in *input) body(v any) {
	if err := decodeBody(in.w, in.r, v); err != nil {
		in.decodeErr = err
	}
}

// err returns a single InvalidInput error with all problems, or nil. Unknown
// query parameters are problems too.
func (in *input) err() error {
	for _, name := range slices.Sorted(maps.Keys(in.values)) {
		if !in.known[name] {
			allowed := strings.Join(slices.Sorted(maps.Keys(in.known)), ", ")
			in.problems = append(in.problems, fmt.Sprintf("query parameter %q is unknown, allowed: %s", name, cmp.Or(allowed, "none")))
		}
	}
	if in.decodeErr != nil {
		return in.decodeErr
	}
	if len(in.problems) == 0 {
		return nil
	}
	return corianderwing.Errorf(corianderwing.InvalidInput, "%s", strings.Join(in.problems, "; "))
}
