package state

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"corianderwing"
)

// Replicas compare and hash encoded values, so the encoding is deterministic:
// sorted map keys, and times in UTC with nanoseconds.
var encoding = mustEncoding()

// Snapshots hold more elements than the library's default limit of 131,072.
var snapshotDecoding = mustDecoding()

func mustEncoding() cbor.EncMode {
	o := cbor.CoreDetEncOptions()
	o.Time = cbor.TimeRFC3339NanoUTC
	m, err := o.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

func mustDecoding() cbor.DecMode {
	o := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}
	m, err := o.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

// EncodeCommand returns a command in the form that Machine.Apply takes.
func EncodeCommand(c corianderwing.Command) ([]byte, error) { return encoding.Marshal(c) }

// DecodeCommand reverses EncodeCommand.
func DecodeCommand(data []byte) (corianderwing.Command, error) {
	var c corianderwing.Command
	err := cbor.Unmarshal(data, &c)
	return c, err
}

// DecodeResult decodes what Machine.Apply returns.
func DecodeResult(data []byte) (corianderwing.Result, error) {
	var r corianderwing.Result
	err := cbor.Unmarshal(data, &r)
	return r, err
}

// encodeResult cannot fail: every field of a result was decoded from CBOR or
// made here.
func encodeResult(r corianderwing.Result) []byte {
	data, err := encoding.Marshal(r)
	if err != nil {
		panic(err)
	}
	return data
}

// fingerprintOf returns a hash of what a command asks for. The fields that the
// leader or the machine stamps are left out, because a resent command is
// stamped anew.
func fingerprintOf(c *corianderwing.Command) uint64 {
	hashed := *c
	hashed.Now = time.Time{}
	if c.Drain != nil {
		hashed.Drain = &corianderwing.Drain{Upstream: c.Drain.Upstream}
	}
	if c.Order != nil {
		o := *c.Order
		o.Since = time.Time{}
		hashed.Order = &o
	}
	data, err := encoding.Marshal(hashed)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// checkCommand returns an error if a command lacks what every command carries.
func checkCommand(c *corianderwing.Command) error {
	if !corianderwing.ValidID(string(c.Request)) {
		return corianderwing.Errorf(corianderwing.InvalidInput, "request is %q, allowed: an id", c.Request)
	}
	if !validTime(c.Now) {
		return corianderwing.Errorf(corianderwing.InvalidInput, "now is %v, allowed: a year from 2000 to 9999", c.Now)
	}
	if _, ok := commandFuncs[c.Kind]; !ok && !isOrderCommand(c.Kind) {
		return corianderwing.Errorf(corianderwing.InvalidInput, "kind %q is not a kind of command", c.Kind)
	}
	return nil
}

func snapshotError(err error) error { return fmt.Errorf("decoding a snapshot: %w", err) }
