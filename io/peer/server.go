// Package peer implements calls between the system's processes, with gRPC, a CBOR
// codec and generic handlers. It uses none of gRPC's resolvers or balancers: every
// call specifies the address of the peer.
package peer

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"corianderwing"
)

const (
	service = "corianderwing"
	// tokenKey is the metadata key of the fleet token.
	tokenKey = "cw-fleet"
	// maxMessage is the maximum message size in bytes. The largest messages
	// are snapshots of a group.
	maxMessage = 64 << 20
	// maxHeaderList is the maximum size of the header list of a call in bytes. Calls
	// have a handful of short fields.
	maxHeaderList = 16 << 10
	// pingInterval is the keepalive interval of an idle connection. grpc-go
	// allows clients no interval shorter than 10 s.
	pingInterval = 10 * time.Second
	pingTimeout  = 2 * time.Second
)

// Method is a unary method, with one request and one response.
type Method[Req, Resp any] struct {
	Name string
	// Compressed is set for methods whose messages are long lists: their encoded
	// form repeats the names of fields and compresses well.
	Compressed bool
}

// Stream is a server-streaming method, with one request and any number of responses.
type Stream[Req, Msg any] struct{ Name string }

// Server serves the registered methods to processes that share the fleet's secret.
type Server struct {
	desc       grpc.ServiceDesc
	token      string
	handshakes handshakes

	mu      sync.Mutex
	grpc    *grpc.Server // nil before Serve
	stopped bool
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithMaxHandshakes sets the number of connections that may be open before their first
// call with the fleet token; 0 for DefaultMaxHandshakes.
func WithMaxHandshakes(n int) ServerOption {
	return func(s *Server) {
		if n > 0 {
			s.handshakes.max = n
		}
	}
}

// WithLog sets the logger for connections that are closed because of a limit.
func WithLog(l *log.Logger) ServerOption {
	return func(s *Server) { s.handshakes.log = l }
}

// NewServer returns a server without registered methods.
func NewServer(secret []byte, opts ...ServerOption) *Server {
	s := &Server{
		desc:       grpc.ServiceDesc{ServiceName: service, HandlerType: (*any)(nil)},
		token:      fleetToken(secret),
		handshakes: handshakes{max: DefaultMaxHandshakes},
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// NumClosed returns the number of connections that were closed before their first call
// with the fleet token.
func (s *Server) NumClosed() int64 { return s.handshakes.numClosed() }

// Handle registers f as the handler of a method. It must be called before Serve.
func Handle[Req, Resp any](s *Server, m Method[Req, Resp], f func(context.Context, *Req) (*Resp, error)) {
	call := func(_ any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (_ any, err error) {
		defer recoverPanic(&err)
		req := new(Req)
		if err := dec(req); err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		resp, err := f(ctx, req)
		if err != nil {
			return nil, toStatus(err)
		}
		return resp, nil
	}
	s.desc.Methods = append(s.desc.Methods, grpc.MethodDesc{MethodName: m.Name, Handler: call})
}

// HandleStream registers f as the handler of a stream, which ends when f returns. It
// must be called before Serve.
func HandleStream[Req, Msg any](s *Server, m Stream[Req, Msg], f func(ctx context.Context, req *Req, send func(*Msg) error) error) {
	call := func(_ any, stream grpc.ServerStream) (err error) {
		defer recoverPanic(&err)
		ctx := stream.Context()
		req := new(Req)
		if err := stream.RecvMsg(req); err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
		send := func(msg *Msg) error { return stream.SendMsg(msg) }
		return toStatus(f(ctx, req, send))
	}
	s.desc.Streams = append(s.desc.Streams, grpc.StreamDesc{
		StreamName:    m.Name,
		Handler:       call,
		ServerStreams: true,
	})
}

// recoverPanic turns a panic of a handler into an error of its call, so that one
// unexpected message does not end the process and all other calls with it.
func recoverPanic(err *error) {
	if v := recover(); v != nil {
		*err = toStatus(corianderwing.Errorf(corianderwing.Internal, "handler panicked: %v\n%s", v, debug.Stack()))
	}
}

// Serve serves connections from l until Stop is called.
func (s *Server) Serve(l net.Listener) error {
	g := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.MaxSendMsgSize(maxMessage),
		grpc.MaxHeaderListSize(maxHeaderList),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.Creds(newPrefaceCredentials()),
		grpc.InTapHandle(s.authorize),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}),
	)
	g.RegisterService(&s.desc, nil)
	s.mu.Lock()
	s.grpc = g
	if s.stopped {
		g.Stop() // its Serve closes l and returns at once
	}
	s.mu.Unlock()
	return eris.Wrap(g.Serve(&handshakeListener{l, &s.handshakes}), "serve peers")
}

// Stop closes all connections without waiting for pending calls.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.grpc != nil {
		s.grpc.Stop()
	}
}

// authorize checks the fleet token of a call before its stream is created, and so before
// any of its message is received.
func (s *Server) authorize(ctx context.Context, call *tap.Info) (context.Context, error) {
	got := call.Header.Get(tokenKey)
	ok := len(got) == 1 && subtle.ConstantTimeCompare([]byte(got[0]), []byte(s.token)) == 1
	if c, known := connOf(ctx); known {
		c.recordCall(ok)
	}
	if !ok {
		return ctx, status.Error(codes.Unauthenticated, "the fleet token is missing or wrong")
	}
	return ctx, nil
}

// fleetToken derives the token that is sent with each call from the fleet's secret.
func fleetToken(secret []byte) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("peer"))
	return hex.EncodeToString(mac.Sum(nil))
}
