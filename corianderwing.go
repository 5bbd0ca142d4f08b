// Package corianderwing routes traffic between callers and upstreams.
//
// The root package defines the shared API: IDs, units, result codes, the domain
// types that packages exchange, and the interfaces (ports) between the decision
// logic in core/... and the adapters in io/....
//
// Decision logic consists of deterministic functions of (state, event, now) that
// never read a clock, open a socket or access a file. Adapters perform all I/O and
// deliver the resulting decisions to callers, upstreams, disks and other instances.
package corianderwing
