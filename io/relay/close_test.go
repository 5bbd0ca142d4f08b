package relay

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against connections that stay open for good: an upstream was removed
// between the choice of its pool and the opening of the connection, which was then
// kept in a pool that nobody used any more.
func TestConnOpenedAfterCloseIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		closed := false
		h := newPipePool(func(c net.Conn, br *bufio.Reader) {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			writeResponse(c, "1", "", "own")
			_, err := br.ReadByte()
			closed = err != nil
		})
		h.Close()
		resp, err := Send(t.Context(), newCall(h, "1"))
		is.Equal(readResult(t, resp, err), "own")
		synctest.Wait()
		is.Equal(h.Idle(), 0)
		is.True(closed)
	})
}
