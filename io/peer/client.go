package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// Client holds one connection to each peer that it has called.
type Client struct {
	token    string
	opts     []grpc.DialOption
	mu       sync.Mutex
	conns    map[string]*conn
	replaced []*conn // replaced connections that may still be open
}

type conn struct {
	*grpc.ClientConn
	timeouts     int         // consecutive calls that timed out
	firstTimeout time.Time   // earliest time at which one of them was sent
	closeTimer   *time.Timer // closes the connection after it was replaced
	plain        atomic.Bool // the peer, of an earlier version, does not support compression
}

// A connection is replaced after maxTimeouts consecutive calls that timed out, if
// the first of them was sent at least silenceTimeout ago. A connection that lost its
// state somewhere on the network path, without an error, never recovers, while a new
// one works. A connection that is busy with a large message is merely late, and
// closing it would fail its other calls and streams.
const (
	maxTimeouts    = 2
	silenceTimeout = 500 * time.Millisecond
	// replacedConnTTL is how long a replaced connection stays open for its
	// pending calls. Most calls have shorter timeouts.
	replacedConnTTL = time.Second
)

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithSourceIP sets the source IP of connections; nil lets the operating system
// choose it.
func WithSourceIP(ip net.IP) ClientOption {
	return func(c *Client) {
		if ip == nil {
			return
		}
		d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: ip}}
		c.opts = append(c.opts, grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr)
		}))
	}
}

// NewClient returns a client for the instances that share the given secret.
func NewClient(secret []byte, opts ...ClientOption) *Client {
	c := &Client{token: fleetToken(secret), conns: map[string]*conn{}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, cc := range c.conns {
		cc.Close()
		delete(c.conns, addr)
	}
	for _, cc := range c.replaced {
		cc.closeTimer.Stop()
		cc.Close()
	}
	c.replaced = nil
}

// Call calls a method at addr. An error that the peer returned is a
// *corianderwing.Error.
func Call[Req, Resp any](ctx context.Context, c *Client, addr string, m Method[Req, Resp], req *Req) (*Resp, error) {
	cc, err := c.conn(addr)
	if err != nil {
		return nil, err
	}
	resp := new(Resp)
	sent := time.Now()
	err = fromStatus(cc.invoke(c.withToken(ctx), "/"+service+"/"+m.Name, req, resp, m.Compressed))
	c.recordResult(addr, cc, sent, err)
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// invoke calls a method. The response is compressed if the request is. A peer of an
// earlier version does not support compression and is called again without it.
func (c *conn) invoke(ctx context.Context, method string, req, resp any, compressed bool) error {
	if !compressed || c.plain.Load() {
		return c.Invoke(ctx, method, req, resp)
	}
	err := c.Invoke(ctx, method, req, resp, grpc.UseCompressor(gzip.Name))
	if status.Code(err) != codes.Unimplemented {
		return err
	}
	c.plain.Store(true)
	return c.Invoke(ctx, method, req, resp)
}

// CallStream opens a stream at addr and calls f for each message. It returns nil
// when the peer ends the stream.
func CallStream[Req, Msg any](ctx context.Context, c *Client, addr string, m Stream[Req, Msg], req *Req, f func(*Msg) error) error {
	cc, err := c.conn(addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(c.withToken(ctx))
	defer cancel()
	desc := &grpc.StreamDesc{StreamName: m.Name, ServerStreams: true}
	stream, err := cc.NewStream(ctx, desc, "/"+service+"/"+m.Name)
	if err != nil {
		return fromStatus(err)
	}
	if err := stream.SendMsg(req); err != nil {
		return fromStatus(err)
	}
	if err := stream.CloseSend(); err != nil {
		return fromStatus(err)
	}
	return receive(stream, f)
}

func receive[Msg any](stream grpc.ClientStream, f func(*Msg) error) error {
	for {
		msg := new(Msg)
		err := stream.RecvMsg(msg)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fromStatus(err)
		}
		if err := f(msg); err != nil {
			return err
		}
	}
}

func (c *Client) withToken(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, tokenKey, c.token)
}

func (c *Client) conn(addr string) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cc := c.conns[addr]; cc != nil {
		return cc, nil
	}
	// The passthrough scheme bypasses gRPC's resolvers: addr is dialed as it is.
	gc, err := grpc.NewClient("passthrough:///"+addr, append(slices.Clone(c.opts),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(
			grpc.CallContentSubtype(codecName),
			grpc.MaxCallRecvMsgSize(maxMessage),
			grpc.MaxCallSendMsgSize(maxMessage),
		),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout, PermitWithoutStream: true}),
	)...)
	if err != nil {
		return nil, eris.Wrapf(err, "open connection to peer %s", addr)
	}
	cc := &conn{ClientConn: gc}
	c.conns[addr] = cc
	return cc, nil
}

// recordResult records the result of a call and replaces a connection on which calls
// keep timing out.
func (c *Client) recordResult(addr string, cc *conn, sent time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !errors.Is(err, context.DeadlineExceeded) {
		cc.timeouts = 0
		return
	}
	if cc.timeouts == 0 || sent.Before(cc.firstTimeout) {
		cc.firstTimeout = sent
	}
	cc.timeouts++
	if cc.timeouts < maxTimeouts || time.Since(cc.firstTimeout) < silenceTimeout || c.conns[addr] != cc {
		return
	}
	delete(c.conns, addr)
	// Pending calls may still receive their responses, because a peer that is
	// short of CPU time does not respond in time either.
	cc.closeTimer = time.AfterFunc(replacedConnTTL, func() { cc.Close() })
	c.replaced = append(slices.DeleteFunc(c.replaced, (*conn).closed), cc)
}

// closed reports whether the connection has been closed.
func (c *conn) closed() bool { return c.GetState() == connectivity.Shutdown }
