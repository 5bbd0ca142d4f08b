package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
)

// Client holds one connection to each peer that it has called.
type Client struct {
	token    string
	opts     []grpc.DialOption
	mu       sync.Mutex
	conns    map[string]*conn
	replaced []*conn // that were replaced and may still be open
}

type conn struct {
	*grpc.ClientConn
	timeouts     int         // calls in a row that got no answer
	firstTimeout time.Time   // start of the first of them
	closeTimer   *time.Timer // closes a connection that was replaced
}

// A connection is replaced after maxTimeouts calls in a row without an answer,
// if the first of them was sent silenceTimeout ago. A connection whose path has
// silently lost its state never recovers by itself, while a new one works. One
// behind a large message answers late, and its other calls and streams would be
// lost with it.
const (
	maxTimeouts    = 2
	silenceTimeout = 500 * time.Millisecond
	// replacedConnTTL is how long a connection that was replaced stays open for the
	// calls that are under way on it. Most of them are bounded by less.
	replacedConnTTL = time.Second
)

// ClientOption changes a Client.
type ClientOption func(*Client)

// WithSourceIP makes connections come from a local IP; nil leaves that to the
// system.
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

// NewClient returns a client for the fleet with the given secret.
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

// Call calls a method at addr. A refusal by the peer is a *corianderwing.Error.
func Call[Req, Resp any](ctx context.Context, c *Client, addr string, m Method[Req, Resp], req *Req) (*Resp, error) {
	cc, err := c.conn(addr)
	if err != nil {
		return nil, err
	}
	resp := new(Resp)
	sent := time.Now()
	err = cc.Invoke(c.withToken(ctx), "/"+service+"/"+m.Name, req, resp)
	err = fromStatus(err)
	c.recordResult(addr, cc, sent, err)
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// CallStream opens a stream at addr and calls f with each message. It returns nil
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
	// The passthrough scheme bypasses gRPC's resolvers: addr is dialled as it is.
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

// recordResult notes the end of a call that was sent at a time, and replaces a
// connection that is silent.
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
	// Calls that are under way may still get their answers: a peer that is short
	// of processor time is silent too.
	cc.closeTimer = time.AfterFunc(replacedConnTTL, func() { cc.Close() })
	c.replaced = append(slices.DeleteFunc(c.replaced, (*conn).closed), cc)
}

// closed reports whether the connection is closed by now.
func (c *conn) closed() bool { return c.GetState() == connectivity.Shutdown }
