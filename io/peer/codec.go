package peer

import (
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/gzip"
)

// codecName is the gRPC content subtype of messages between processes.
const codecName = "cbor"

func init() {
	encoding.RegisterCodec(codec{})
	if err := gzip.SetLevel(compressionLevel); err != nil {
		panic(err) // the level is constant
	}
}

// compressionLevel is the level of gzip. Higher levels take several times the
// processor time and save little on lists of similar items.
const compressionLevel = 1

// codec encodes messages as CBOR, so that the types of the root package and of core
// are sent as they are, without a second set of generated types.
type codec struct{}

// Name implements encoding.Codec.
func (codec) Name() string { return codecName }

// encMode keeps nanoseconds in times; the library truncates them to seconds by
// default.
var encMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Marshal implements encoding.Codec.
func (codec) Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal implements encoding.Codec.
func (codec) Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }
