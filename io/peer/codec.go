package peer

import (
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/encoding"
)

// codecName is the gRPC content subtype of messages between processes.
const codecName = "cbor"

func init() { encoding.RegisterCodec(codec{}) }

// codec encodes messages as CBOR, so that the types of the root package and
// of core travel as they are, without a second set of generated types.
type codec struct{}

// Name implements encoding.Codec.
func (codec) Name() string { return codecName }

// Marshal implements encoding.Codec.
func (codec) Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal implements encoding.Codec.
func (codec) Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }
