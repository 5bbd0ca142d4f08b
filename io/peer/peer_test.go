package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"corianderwing"
)

type request struct {
	N int `json:"n"`
}

type response struct {
	N int `json:"n"`
}

var (
	double = Method[request, response]{Name: "Double"}
	count  = Stream[request, response]{Name: "Count"}
)

// panics is a request at which the handlers panic.
const panics = -1000

func serve(t *testing.T, secret string) string {
	t.Helper()
	s := NewServer([]byte(secret))
	Handle(s, double, func(_ context.Context, a *request) (*response, error) {
		if a.N == panics {
			panic("unexpected message")
		}
		if a.N < 0 {
			return nil, corianderwing.Errorf(corianderwing.InvalidInput, "n is %d, want 0 or more", a.N)
		}
		return &response{N: 2 * a.N}, nil
	})
	HandleStream(s, count, func(_ context.Context, a *request, send func(*response) error) error {
		if a.N == panics {
			panic("unexpected message")
		}
		for i := range a.N {
			if err := send(&response{N: i}); err != nil {
				return err
			}
		}
		return nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

// Guards against an error code that is lost between processes.
func TestCallCarriesValuesAndErrors(t *testing.T) {
	is := is.New(t)
	addr := serve(t, "s")
	c := NewClient([]byte("s"))
	defer c.Close()

	got, err := Call(t.Context(), c, addr, double, &request{N: 21})
	is.NoErr(err)
	is.Equal(got.N, 42)

	_, err = Call(t.Context(), c, addr, double, &request{N: -1})
	is.Equal(corianderwing.CodeOf(err), corianderwing.InvalidInput)

	sum := 0
	err = CallStream(t.Context(), c, addr, count, &request{N: 4}, func(r *response) error {
		sum += r.N
		return nil
	})
	is.NoErr(err)
	is.Equal(sum, 6)
}

// Guards against calls from a process of another fleet.
func TestWrongSecretIsRejected(t *testing.T) {
	is := is.New(t)
	addr := serve(t, "s")
	c := NewClient([]byte("other"))
	defer c.Close()
	_, err := Call(t.Context(), c, addr, double, &request{N: 1})
	is.True(err != nil)
}

// Guards against times that lose their fractions of a second when encoded, which
// made records of the same second indistinguishable.
func TestCodecKeepsNanoseconds(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 12, 4, 6, 51, 20, 123456789, time.UTC)
	data, err := codec{}.Marshal(at)
	is.NoErr(err)
	var got time.Time
	is.NoErr(codec{}.Unmarshal(data, &got))
	is.True(got.Equal(at))
}

// Guards against one unexpected message that ends a process with all its calls.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	is := is.New(t)
	addr := serve(t, "s")
	c := NewClient([]byte("s"))
	defer c.Close()
	_, err := Call(t.Context(), c, addr, double, &request{N: panics})
	is.Equal(corianderwing.CodeOf(err), corianderwing.Internal)
	err = CallStream(t.Context(), c, addr, count, &request{N: panics}, func(*response) error { return nil })
	is.Equal(corianderwing.CodeOf(err), corianderwing.Internal)
	got, err := Call(t.Context(), c, addr, double, &request{N: 4})
	is.NoErr(err)
	is.Equal(got.N, 8)
}

// Guards against a site whose control instances cannot report to a leader of an
// earlier version: it answers compressed messages with Unimplemented.
func TestPeerWithoutCompression(t *testing.T) {
	is := is.New(t)
	calls := 0
	handler := func(_ any, _ context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		if calls++; calls == 1 {
			return nil, status.Error(codes.Unimplemented, "grpc: Decompressor is not installed for grpc-encoding \"gzip\"")
		}
		req := new(request)
		err := dec(req)
		return &response{N: 2 * req.N}, err
	}
	s := grpc.NewServer()
	s.RegisterService(&grpc.ServiceDesc{ServiceName: service, HandlerType: (*any)(nil), Methods: []grpc.MethodDesc{{MethodName: double.Name, Handler: handler}}}, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go s.Serve(l)
	defer s.Stop()
	c := NewClient([]byte("s"))
	defer c.Close()
	compressed := double
	compressed.Compressed = true
	for i := range 2 {
		got, err := Call(t.Context(), c, l.Addr().String(), compressed, &request{N: i})
		is.NoErr(err)
		is.Equal(got.N, 2*i)
	}
	is.Equal(calls, 3) // the second call is not compressed at all
}
