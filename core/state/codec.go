package state

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"corianderwing"
)

// encoding is deterministic, because replicas compare and hash encoded values: map
// keys are sorted, and times are in UTC with nanoseconds.
var encoding = mustEncoding()

// snapshotDecoding raises the library's default limit of 131,072 elements, which
// snapshots exceed.
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

// EncodeCommand encodes a command for Machine.Apply.
func EncodeCommand(c corianderwing.Command) ([]byte, error) { return encoding.Marshal(c) }

// DecodeCommand decodes a command that was encoded by EncodeCommand.
func DecodeCommand(data []byte) (corianderwing.Command, error) {
	var c corianderwing.Command
	err := cbor.Unmarshal(data, &c)
	return c, err
}

// DecodeResult decodes a result that was returned by Machine.Apply.
func DecodeResult(data []byte) (corianderwing.Result, error) {
	var r corianderwing.Result
	err := cbor.Unmarshal(data, &r)
	return r, err
}

// encodeResult encodes a result. It panics on an error, which cannot occur: every
// field of a result was either decoded from CBOR or created by this package.
func encodeResult(r corianderwing.Result) []byte {
	data, err := encoding.Marshal(r)
	if err != nil {
		panic(err)
	}
	return data
}

// fingerprintOf returns a hash of a command without the fields that the leader or
// the machine sets, because these differ when the command is sent again.
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

// checkCommand validates the fields that every command must have.
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
