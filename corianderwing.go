// Package corianderwing steers traffic between callers and back ends.
//
// The root package reads as the API of the whole: ids, units, result codes,
// the domain types that modules exchange, and the interfaces (ports) between
// decisions in core/... and adapters in io/....
//
// Decisions are functions of (state, event, now) and never read a clock, open
// a socket or touch a file. Adapters do all of that, and hand the results of
// decisions to callers, upstreams, disks and other instances.
package corianderwing
