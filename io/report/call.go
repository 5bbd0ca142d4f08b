package report

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"corianderwing"
	"corianderwing/core/outbox"
)

// maxResponseBytes bounds what is read of an answer.
const maxResponseBytes = 64 << 10

var errLeaseEnded = eris.New("the lease of the duty has ended")

// call sends one report on a connection of its own and returns the answer and its
// status. It ends with the lease. A retry by an HTTP client could come after that, so
// none is used.
func (r *Reporter) call(ctx context.Context, c *outbox.Call) (corianderwing.UsageResult, int, error) {
	addr := *r.addr.Load()
	req, err := r.cfg.Dialect.NewUsageRequest(addr, corianderwing.UsageReport{
		Window: int64(c.Report.Window), Counts: c.Report.Counts, Holder: r.cfg.Self.Instance, Token: uint64(c.Token),
	})
	if err != nil {
		return corianderwing.UsageResult{}, 0, fmt.Errorf("write usage report: %w", err)
	}
	req.Close = true
	var message bytes.Buffer
	if err := req.Write(&message); err != nil {
		return corianderwing.UsageResult{}, 0, fmt.Errorf("write usage report: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, min(callTimeout, c.Until.Sub(r.boot())))
	defer cancel()
	resp, err := r.exchange(ctx, addr, c.Until, message.Bytes(), req)
	if err != nil {
		return corianderwing.UsageResult{}, 0, err
	}
	return r.cfg.Dialect.ParseUsageResponse(resp.StatusCode, resp.Header), resp.StatusCode, nil
}

// exchange writes a message and reads the header of the answer.
func (r *Reporter) exchange(ctx context.Context, addr string, until time.Time, message []byte, req *http.Request) (*http.Response, error) {
	d := net.Dialer{Control: userTimeout(until.Sub(r.boot()))}
	if r.cfg.SourceIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: r.cfg.SourceIP}
	}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connect to the receiver: %w", err)
	}
	// Closing resets the connection: bytes that wait for a broken link must not arrive
	// after the lease.
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return nil, fmt.Errorf("set linger: %w", err)
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		stop()
		_ = conn.Close()
	}()
	if _, err := (leasedConn{conn, until, r.boot}).Write(message); err != nil {
		return nil, fmt.Errorf("send usage report: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxResponseBytes)), req)
	if err != nil {
		return nil, fmt.Errorf("read the answer to a usage report: %w", err)
	}
	_ = resp.Body.Close()
	return resp, nil
}

// leasedConn is a connection that may be written to until a time on the boot clock.
// The process may have been frozen since the call was decided, and its timers do not
// count that time.
type leasedConn struct {
	net.Conn
	until time.Time
	boot  func() time.Time
}

func (c leasedConn) Write(b []byte) (int, error) {
	if !c.boot().Before(c.until) {
		return 0, errLeaseEnded
	}
	return c.Conn.Write(b)
}
