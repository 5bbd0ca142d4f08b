package logs

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// Guards against requests that block because the log output does, and against
// warnings that are dropped because ordinary lines fill the buffer.
func TestUnreadOutput(t *testing.T) {
	is := is.New(t)
	out := blockedWriter{make(chan struct{})}
	w := New(out)
	l := log.Logger{Level: log.InfoLevel, Writer: w}
	text := strings.Repeat("x", 1000)
	for range 2000 {
		l.Info().Str("text", text).Msg("request") // must return although the output blocks
	}
	dropped := w.Dropped()
	is.True(dropped > 0)
	for range 100 {
		l.Warn().Str("text", text).Msg("request")
	}
	is.Equal(w.Dropped(), dropped) // the reserve has room for warnings
	for range 2000 {
		l.Warn().Str("text", text).Msg("request")
	}
	is.True(w.Dropped() > dropped) // the reserve is bounded as well
	close(out.release)
	w.Close(time.Now().Add(time.Minute))
}

// Guards against a request id that does not lead to the lines that explain the
// outcome, for a request that was rejected, one with an unknown outcome, and one
// that was slow.
func TestRequestLines(t *testing.T) {
	is := is.New(t)
	line := func(at, instance, rest string) string {
		return fmt.Sprintf(`{"time":"2026-03-31T11:47:%s","level":"info","instance":"%s",%s}`, at, instance, rest)
	}
	entry := strings.Join([]string{
		line("40.000", "front-1", `"message":"instance started"`),
		line("49.900", "front-1", `"control":"c1","error":"deadline","message":"no answer to a request for a slot"`),
		"   0.42 front-1 " + line("50.100", "front-1", `"request":"refused","code":303,"us":2000,"message":"request"`),
		line("50.200", "front-1", `"request":"other","code":100,"us":100,"message":"request"`),
		line("52.000", "front-1", `"request":"unknown","code":501,"us":349168,"attempts":[{"upstream":"i-1","first":347}],"message":"request"`),
		line("53.000", "front-1", `"request":"slow","code":100,"us":2500000,"waited":1200,"message":"request"`),
		"not a log line {",
		line("54.000", "front-1", `"revision":7,"message":"state changed"`),
	}, "\n")
	control := line("51.900", "core-1", `"role":"leader","message":"role changed"`) + "\n"
	messages := func(id string) string {
		story, err := RequestLines(id, strings.NewReader(entry), strings.NewReader(control))
		is.NoErr(err)
		var words []string
		for _, l := range story {
			words = append(words, l.Message)
		}
		return strings.Join(words, "; ")
	}
	is.Equal(messages("refused"), "no answer to a request for a slot; request")
	is.Equal(messages("unknown"), "no answer to a request for a slot; request")
	is.Equal(messages("slow"), "no answer to a request for a slot; request")
	is.Equal(messages("nothing"), "")
	_, err := RequestLines("x", failingReader{})
	is.True(err != nil)
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
