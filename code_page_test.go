package corianderwing

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
)

// recommendedActions is the recommended action for each code in docs/codes.md.
var recommendedActions = map[Code]string{
	OK:               "nothing",
	ReplayedResponse: "nothing; the order ran once, when it was first sent",

	InvalidPath:        "send a clean path `/{workspace}/{service}/...`",
	NoRoute:            "check the path; operators: check the tree",
	MissingKey:         "send the workspace's key",
	InvalidKey:         "check the key; operators: list the keys of the workspace",
	DuplicateKey:       "send the key in one place only",
	HeaderTooLarge:     "send fewer or shorter headers",
	BodyTooLarge:       "send a smaller body; operators: raise `body` of the route",
	BodyTruncated:      "send the request again; an order with the same `Idempotency-Key`",
	MethodNotAllowed:   "use a method that the route allows",
	InvalidInput:       "correct the field that the message names",
	KeyRevoked:         "get a new key; an order may have run: ask for its state with the new key",
	CallerDisconnected: "nothing; an order may have run: send it again with the same `Idempotency-Key`",
	ClaimMismatch:      "use a new `Idempotency-Key` for a new order",

	RateExceeded:        "send again after `Retry-After`; operators: compare the rate with the agreement",
	QueueFull:           "send again later; operators: add upstreams to the pool",
	DeadlineUnreachable: "send again later, or with a longer deadline; operators: add upstreams to the pool",
	NoCapacity:          "send again later; operators: add upstreams to the pool",
	LinkFull:            "send again later; operators: add upstreams in the caller's region",
	NoShare:             "try an alternate of the lookup; operators: check that the home group has a leader",
	MemoryShort:         "send again after `Retry-After`; operators: look for clients that do not behave",

	StaleSettings:  "try an alternate of the lookup; operators: check that the home group has a majority and can be reached",
	Stopping:       "try an alternate of the lookup, and look up again",
	NoUpstream:     "send again later; operators: check that the pool's upstreams announce themselves",
	ClaimUndecided: "send the order again with the same `Idempotency-Key`",
	ClaimPending:   "send the order again later with the same `Idempotency-Key`; do not use a new one",
	NotOwner:       "send again; operators: if it lasts, check the contact between the instances of the failure domain",
	Internal:       "report it with the request id; an order may have run",
	Quarantined:    "do not send it again before `Retry-After`; operators: look for its fingerprint in the request log, and mend the upstream",

	ConnectFailed:     "send again; operators: check the upstream",
	SendFailed:        "send again; an order with the same `Idempotency-Key`",
	FirstByteTimeout:  "send again; an order with the same `Idempotency-Key`; operators: check the upstream, or raise `timeout`",
	ResponseTruncated: "send again; an order with the same `Idempotency-Key`; operators: check the upstream",
	ResponseMismatch:  "send again; an order with the same `Idempotency-Key`; operators: take the upstream out of service",
	Shed:              "send again later; operators: compare the announced slots with what the upstream can do",
	DeadlineExceeded:  "send again with a longer deadline; an order with the same `Idempotency-Key`",

	RevisionConflict: "read the current revision, and make the change again from it",
	NotFound:         "check the name",
	NoLeader:         "send the change again with the same `request`; operators: check the group's replicas",
	NoQuorum:         "send the change again with the same `request`; it may have been applied",
	InvalidChange:    "correct the field that the message names",
}

// renderCodesPage renders docs/codes.md.
func renderCodesPage() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n")
	b.WriteString("Generated from `code.go` by `go test -run TestCodesPage . -update`; do not edit.\n\n")
	b.WriteString("Every refusal carries its number in `Cw-Code` and one of these values in `Cw-Run`: ")
	b.WriteString("`no` (the request did not run), `yes` (the answer is the upstream's own) or `unknown` (it may have run). ")
	b.WriteString("The table shows what the code alone says about that; an answer may say more precisely. ")
	b.WriteString("Commands end with the exit status. Numbers are never reused.\n")
	titles := []string{"", "Served", "Caller's fault", "Bounds and room", "State of the system", "Upstream or the way to it", "Operators"}
	all := Codes()
	slices.Sort(all)
	family := 0
	for _, c := range all {
		if f := int(c / 100); f != family {
			family = f
			fmt.Fprintf(&b, "\n## %d00: %s\n\n", f, titles[f])
			b.WriteString("| code | name | status | run | exit | meaning | what to do |\n|---|---|---|---|---|---|---|\n")
		}
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %d | %s | %s |\n", uint16(c), c, c.Status(), c.Execution(), c.Exit(), c.Text(), recommendedActions[c])
	}
	return b.String()
}

// Guards against docs/codes.md becoming out of date with code.go.
func TestCodesPage(t *testing.T) {
	is := is.New(t)
	is.Equal(len(recommendedActions), len(Codes()))
	for _, c := range Codes() {
		is.True(recommendedActions[c] != "")
	}
	goldie.New(t, goldie.WithFixtureDir("docs"), goldie.WithNameSuffix(".md")).Assert(t, "codes", []byte(renderCodesPage()))
}
