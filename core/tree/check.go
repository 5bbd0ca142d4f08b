package tree

import (
	"fmt"
	"maps"
	"net/url"
	"path"
	"slices"
	"strings"

	"corianderwing"
)

// Limits of individual fields.
const (
	maxRate   = 1e9     // requests per second; far above any fleet, keeps token sums within int64
	maxMillis = 600_000 // 10 minutes
	maxTries  = 5
	maxBody   = 1 << 30 // 1 GiB
	maxPrefix = 1024    // bytes
	maxSeats  = 256     // per failure domain
)

// knownMethods are the methods that a route may list. CONNECT and TRACE are not
// forwarded.
var knownMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Problem is a validation error of a node's settings: the field, its value, and the
// allowed values.
type Problem struct {
	Field   string
	Got     string
	Allowed string
}

// String formats the problem for an error message.
func (p Problem) String() string {
	return fmt.Sprintf("%s is %s, allowed: %s", p.Field, p.Got, p.Allowed)
}

// Check validates the settings s for the node p without considering other nodes. It
// returns nil or an InvalidChange error that lists every problem.
func Check(p corianderwing.Path, s *corianderwing.Settings) error {
	if problems := findProblems(p, s); len(problems) > 0 {
		return invalidChange(p, problems)
	}
	return nil
}

func invalidChange(p corianderwing.Path, problems []Problem) error {
	texts := make([]string, 0, len(problems))
	for _, problem := range problems {
		texts = append(texts, problem.String())
	}
	return corianderwing.Errorf(corianderwing.InvalidChange, "node %s: %s", p, strings.Join(texts, "; "))
}

// checker accumulates problems.
type checker struct {
	problems []Problem
}

func (c *checker) add(field string, got any, allowed string) {
	text := fmt.Sprint(got)
	if s, ok := got.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	c.problems = append(c.problems, Problem{Field: field, Got: text, Allowed: allowed})
}

func (c *checker) addMisplaced(field string, p corianderwing.Path, allowed string) {
	c.problems = append(c.problems, Problem{Field: field, Got: "set on " + p.String(), Allowed: allowed})
}

func findProblems(p corianderwing.Path, s *corianderwing.Settings) []Problem {
	c := &checker{problems: checkPath(p)}
	if s == nil {
		c.problems = append(c.problems, Problem{Field: "settings", Got: "missing", Allowed: "an object"})
		return c.problems
	}
	c.checkRateLimits(p, s)
	c.checkDurations(s)
	c.checkRequestFields(s)
	c.checkRouteFields(p, s)
	c.checkSeats(p, s)
	return c.problems
}

func checkPath(p corianderwing.Path) []Problem {
	c := &checker{}
	c.checkID("workspace", string(p.Workspace), depth(p) >= workspaceLevel)
	c.checkID("service", string(p.Service), depth(p) >= serviceLevel)
	c.checkID("route", string(p.Route), depth(p) >= routeLevel)
	return c.problems
}

func (c *checker) checkID(field, id string, needed bool) {
	if needed && !corianderwing.ValidID(id) {
		c.add(field, id, idFormat)
	}
}

func (c *checker) checkRateLimits(p corianderwing.Path, s *corianderwing.Settings) {
	onRootOrWorkspace := depth(p) <= workspaceLevel
	const place = "only on the root or a workspace"
	if !onRootOrWorkspace && s.Rate != nil {
		c.addMisplaced("rate", p, place)
	}
	if !onRootOrWorkspace && s.Burst != nil {
		c.addMisplaced("burst", p, place)
	}
	if !onRootOrWorkspace && s.Fixed != nil {
		c.addMisplaced("fixed", p, place)
	}
	// The conditions are negated so that NaN, which CBOR can encode, is rejected.
	if r := s.Rate; r != nil && !(*r > 0 && *r <= maxRate) {
		c.add("rate", float64(*r), fmt.Sprintf("greater than 0, at most %g requests per second", maxRate))
	}
	if b := s.Burst; b != nil && (*b < 1 || *b > maxRate) {
		c.add("burst", int64(*b), fmt.Sprintf("1 to %d requests", int64(maxRate)))
	}
	if f := s.Fixed; f != nil && !(*f >= 0 && *f <= 1) {
		c.add("fixed", *f, "0 to 1")
	}
}

func (c *checker) checkDurations(s *corianderwing.Settings) {
	c.checkMillis("timeout", s.Timeout)
	c.checkMillis("wait", s.Wait)
	c.checkMillis("slow", s.Slow)
}

func (c *checker) checkMillis(field string, m *corianderwing.Millis) {
	if m != nil && (*m < 1 || *m > maxMillis) {
		c.add(field, int64(*m), fmt.Sprintf("1 to %d ms", maxMillis))
	}
}

func (c *checker) checkRequestFields(s *corianderwing.Settings) {
	classes := []corianderwing.Class{corianderwing.Urgent, corianderwing.Normal, corianderwing.Bulk}
	if s.Class != nil && !slices.Contains(classes, *s.Class) {
		c.add("class", string(*s.Class), "urgent, normal or bulk")
	}
	// AtMostOnce may be combined with several attempts: such a route retries a failure only
	// if the request is known not to have been executed.
	if s.MaxAttempts != nil && (*s.MaxAttempts < 1 || *s.MaxAttempts > maxTries) {
		c.add("tries", *s.MaxAttempts, fmt.Sprintf("1 to %d", maxTries))
	}
	if s.Body != nil && (*s.Body < 0 || *s.Body > maxBody) {
		c.add("body", int64(*s.Body), fmt.Sprintf("0 to %d bytes", maxBody))
	}
	if s.Pool != nil {
		c.checkID("pool", string(*s.Pool), true)
	}
}

func (c *checker) checkRouteFields(p corianderwing.Path, s *corianderwing.Settings) {
	const place = "only on a route"
	onRoute := depth(p) == routeLevel
	if !onRoute && s.Prefix != nil {
		c.addMisplaced("prefix", p, place)
	}
	if !onRoute && len(s.Methods) > 0 {
		c.addMisplaced("methods", p, place)
	}
	if s.Prefix != nil && !isCleanPrefix(*s.Prefix) {
		c.add("prefix", *s.Prefix, fmt.Sprintf("a clean path of at most %d bytes that starts with / and does not end with one", maxPrefix))
	}
	seen := map[string]bool{}
	for _, m := range s.Methods {
		if !slices.Contains(knownMethods, m) || seen[m] {
			c.add("methods", m, "each once of "+strings.Join(knownMethods, ", "))
		}
		seen[m] = true
	}
}

// isCleanPrefix reports whether s can be a prefix of a request path: absolute,
// without dot segments or empty segments, and without characters that require
// escaping.
func isCleanPrefix(s string) bool {
	if !strings.HasPrefix(s, "/") || len(s) > maxPrefix || path.Clean(s) != s {
		return false
	}
	u, err := url.Parse(s)
	return err == nil && u.Path == s && u.EscapedPath() == s
}

// maxDomains limits the number of failure domains, and with it the total number of
// seats in a fleet.
const maxDomains = 1024

func (c *checker) checkSeats(p corianderwing.Path, s *corianderwing.Settings) {
	if depth(p) != rootLevel && len(s.Seats) > 0 {
		c.addMisplaced("seats", p, "only on the root")
	}
	if len(s.Seats) > maxDomains {
		c.add("seats", len(s.Seats), fmt.Sprintf("at most %d failure domains", maxDomains))
		return
	}
	for _, d := range slices.Sorted(maps.Keys(s.Seats)) {
		c.checkID("seats", string(d), true)
		if n := s.Seats[d]; n < 0 || n > maxSeats {
			c.add("seats of "+string(d), n, fmt.Sprintf("0 to %d", maxSeats))
		}
	}
}

// findPrefixConflict returns a problem if another route of the service has the
// prefix of the route p. Which of the two serves a request would be undefined.
func findPrefixConflict(service *node, p corianderwing.Path, s *corianderwing.Settings) *Problem {
	if service == nil {
		return nil
	}
	want := effectivePrefix(s)
	for _, id := range slices.Sorted(maps.Keys(service.children)) {
		if id != string(p.Route) && effectivePrefix(&service.children[id].settings) == want {
			problem := duplicatePrefix(s, corianderwing.RouteID(id))
			return &problem
		}
	}
	return nil
}

func duplicatePrefix(s *corianderwing.Settings, other corianderwing.RouteID) Problem {
	return Problem{
		Field:   "prefix",
		Got:     fmt.Sprintf("%q, which route %s has", effectivePrefix(s), other),
		Allowed: "a prefix that no other route of the service has",
	}
}

func effectivePrefix(s *corianderwing.Settings) string {
	if s.Prefix != nil {
		return *s.Prefix
	}
	return corianderwing.Defaults.Prefix
}
