package corianderwing

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a code without a text, status or name, and against an error code
// that has a success status.
func TestCodeInfoIsComplete(t *testing.T) {
	is := is.New(t)
	for _, c := range Codes() {
		is.True(c.Text() != "")
		is.True(ValidID(c.String()))
		is.True(c.Execution() == NotExecuted || c.Execution() == Executed || c.Execution() == ExecutionUnknown)
		is.Equal(c.Status() < http.StatusBadRequest, c < 200)
		is.Equal(c.Exit() == 0, c < 200)
	}
}
