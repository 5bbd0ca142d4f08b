package relay

import (
	"bytes"
	"fmt"
	"io"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against a prefix that loses bytes where its buffer grows, and against memory
// that is reserved for bytes which did not arrive.
func TestPrefixGrowsWithBody(t *testing.T) {
	for _, size := range []int{1, firstPrefix - 1, firstPrefix, firstPrefix + 1, PrefixSize, PrefixSize + 1, 3 * PrefixSize} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(size, chunked), func(t *testing.T) {
				is := is.New(t)
				text := bytes.Repeat([]byte("0123456789abcde\n"), size/16+1)[:size]
				r := httptest.NewRequest("POST", "/", bytes.NewReader(text))
				if chunked {
					r.ContentLength = -1
				}
				var reserved corianderwing.Bytes
				b, e := ReadBody(r, 1<<20, false, func(n corianderwing.Bytes) bool { reserved += n; return true })
				is.True(e == nil)
				var got bytes.Buffer
				_, err := b.WriteTo(&got)
				is.NoErr(err)
				is.True(bytes.Equal(got.Bytes(), text))
				is.True(reserved <= corianderwing.Bytes(min(2*size, PrefixSize+1)))
			})
		}
	}
}

// Guards against an announced length that is allocated before it arrives, and against
// a refusal that does not say that the request has not run.
func TestPrefixWithoutMemory(t *testing.T) {
	is := is.New(t)
	r := httptest.NewRequest("POST", "/", io.MultiReader(bytes.NewReader(make([]byte, firstPrefix+1)), neverRead{t}))
	r.ContentLength = PrefixSize
	var asked []corianderwing.Bytes
	_, e := ReadBody(r, 1<<20, false, func(n corianderwing.Bytes) bool { asked = append(asked, n); return false })
	is.Equal(e.Code, corianderwing.MemoryShort)
	is.Equal(e.Execution, corianderwing.NotExecuted)
	is.Equal(asked, []corianderwing.Bytes{firstPrefix})
}

// neverRead fails the test when it is read.
type neverRead struct{ t *testing.T }

func (r neverRead) Read([]byte) (int, error) {
	r.t.Error("the body is read on without memory")
	return 0, io.EOF
}
