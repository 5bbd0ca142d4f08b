package soak

import (
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a listen that fails because an address is in use, without a word
// on who holds it.
func TestHolderOfAddressIsNamed(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("only Linux tells who holds an address")
	}
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	err = NewProxy().Open(l.Addr().String(), "", "")
	is.True(err != nil)
	holder := inUseBy(err)
	is.True(strings.Contains(holder, fmt.Sprintf("process %d of", os.Getpid())))
	is.True(strings.Contains(holder, "state 0A")) // it listens
}
