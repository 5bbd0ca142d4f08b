package entry

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against requests that run without the right key, through a path that
// an upstream may read differently, or over a limit, and against refusals that
// say "not run" although an upstream saw the request.
func TestRefusals(t *testing.T) {
	const get = " HTTP/1.1\nHost: h\n"
	const good = "X-Api-Key: good-key\n"
	cases := []struct {
		name, raw, code string
	}{
		{"no key", "GET /ws/svc/x" + get, "202"},
		{"empty key", "GET /ws/svc/x" + get + "X-Api-Key: \n", "202"},
		{"unknown key", "GET /ws/svc/x" + get + "X-Api-Key: bad\n", "203"},
		{"key of another workspace", "GET /ws/svc/x" + get + "X-Api-Key: other-key\n", "203"},
		{"key in two headers", "GET /ws/svc/x" + get + good + "Authorization: Bearer good-key\n", "204"},
		{"key in header and query", "GET /ws/svc/x?a=1&api_key=good-key" + get + good, "204"},
		{"key in header and escaped query", "GET /ws/svc/x?a=1;api%5fkey=good-key" + get + good, "204"},
		{"key in cookie and query", "GET /ws/svc/x?api_key=good-key" + get + "Cookie: a=1; api_key=good-key\n", "204"},
		{"same place twice", "GET /ws/svc/x" + get + good + good, "204"},
		{"bad escape in query", "GET /ws/svc/x?api%zzkey=1" + get + good, "209"},
		{"method", "PUT /ws/closed/x" + get + good, "208"},
		{"no workspace", "GET /none/svc/x" + get + good, "201"},
		{"no service", "GET /ws/none/x" + get + good, "201"},
		{"short path", "GET /ws" + get + good, "200"},
		{"upper case", "GET /WS/svc" + get + good, "200"},
		{"dots", "GET /ws/svc/a/../b" + get + good, "200"},
		{"dots across workspaces", "GET /ws/svc/../../other/svc" + get + good, "200"},
		{"dot", "GET /ws/svc/./b" + get + good, "200"},
		{"trailing dots", "GET /ws/svc/a/.." + get + good, "200"},
		{"dots with parameter", "GET /ws/svc/a/..;x/b" + get + good, "200"},
		{"encoded dots", "GET /ws/svc/%2e%2E/b" + get + good, "200"},
		{"encoded slash", "GET /ws/svc/a%2fb" + get + good, "200"},
		{"slash encoded twice", "GET /ws/svc/a%252Fb" + get + good, "200"},
		{"slash encoded three times", "GET /ws/svc/a%25252Fb" + get + good, "200"},
		{"overlong slash", "GET /ws/svc/a%c0%afb" + get + good, "200"},
		{"encoded backslash", "GET /ws/svc/a%5Cb" + get + good, "200"},
		{"backslash", "GET /ws/svc/a\\b" + get + good, "200"},
		{"null", "GET /ws/svc/a%00b" + get + good, "200"},
		{"line feed", "GET /ws/svc/a%0ab" + get + good, "200"},
		{"empty segment", "GET /ws/svc//b" + get + good, "200"},
		{"empty first segment", "GET //ws/svc/b" + get + good, "200"},
		{"big header", "GET /ws/svc/x" + get + good + "A: " + strings.Repeat("a", 20<<10) + "\n", "205"},
		{"big body", "POST /ws/small/x" + get + good + "Content-Length: 11\n\n01234567890", "206"},
		{"big chunked body", "POST /ws/small/x" + get + good + "Transfer-Encoding: chunked\n\nb\r\n01234567890\r\n0\r\n\r\n", "206"},
		{"truncated chunk", "POST /ws/small/x" + get + good + "Transfer-Encoding: chunked\n\nzz\r\n", "207"},
		{"unknown system path", "GET /-/none" + get, "201"},
	}
	bubble(t, func(w *world) {
		a := w.instance("a", "d1")
		w.route("ws", "small", func(e *corianderwing.EffectiveSettings) { e.Body = 10 })
		w.route("ws", "closed", func(e *corianderwing.EffectiveSettings) { e.Methods = []string{"GET"} })
		var ran atomic.Int32
		w.upstream("u1", "d1", 2, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
		for _, c := range cases {
			if !strings.Contains(c.raw, "\n\n") {
				c.raw += "\n"
			}
			g := w.ask("a:public", c.raw)
			if g.err != nil || g.code != c.code || g.run != "no" || !strings.HasPrefix(g.body, `{"code":`+c.code) {
				t.Errorf("%s: got %+v, want code %s", c.name, g, c.code)
			}
		}
		if n := ran.Load(); n != 0 {
			t.Errorf("%d refused requests reached an upstream", n)
		}
		w.close(a)
	})
}

// Guards against a request under a stale snapshot, and against open routes
// that depend on freshness or keys.
func TestFreshness(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a := w.instance("a", "d1")
		w.route("ws", "open", func(e *corianderwing.EffectiveSettings) { e.Public = true })
		w.upstream("u1", "d1", 2, func(http.ResponseWriter, *http.Request) {})
		w.fresh = false
		is.Equal(w.get("/ws/svc/x").code, "400")
		is.Equal(w.ask("a:public", "GET /ws/open/x HTTP/1.1\nHost: h\n\n").code, "100")
		is.Equal(w.get("/ws/open/x").code, "100") // a key is removed, not checked
		w.fresh = true
		is.Equal(w.get("/ws/svc/x").code, "100")
		w.over = 1
		is.Equal(w.get("/ws/svc/x").code, "300")
		w.close(a)
		is.Equal(len(w.records), 2) // one for each refusal
		is.Equal(w.records[1].Key, corianderwing.KeyID("k-ws"))
		is.Equal(w.records[1].Code, corianderwing.RateExceeded)
	})
}

// Guards against a key that reaches an upstream, and against the loss of what
// stands beside it.
func TestKeyIsRemoved(t *testing.T) {
	cases := []struct{ head, uri, cookie, auth string }{
		{"GET /ws/svc/x HTTP/1.1\nAuthorization: bEARER good-key", "/x", "", ""},
		{"GET /ws/svc/x HTTP/1.1\nAuthorization: Basic abc\nX-Api-Key: good-key", "/x", "", "Basic abc"},
		{"GET /ws/svc/x?api_key=good-key HTTP/1.1", "/x", "", ""},
		{"GET /ws/svc/x?a=1&api%5Fkey=good%2dkey&b=%20 HTTP/1.1", "/x?a=1&b=%20", "", ""},
		{"GET /ws/svc/x?a=1;api_key=good-key HTTP/1.1\nReferer: http://h/ws/svc/x?api_key=good-key", "/x?a=1", "", ""},
		{"GET /ws/svc/x HTTP/1.1\nCookie: a=1; api_key=\"good-key\"; b=2\nCookie: c=3", "/x", "a=1; b=2|c=3", ""},
		{"GET /ws/open/x HTTP/1.1\nCookie: api_key=good-key", "/x", "", ""},
		{"GET /ws/open/x HTTP/1.1\nConnection: Cw-Request, x-custom\nX-Custom: 1\nX-Api-Key: good-key", "/x", "", ""},
	}
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, b := w.instance("a", "d1"), w.instance("b", "d1") // b owns the pool
		w.route("ws", "open", func(e *corianderwing.EffectiveSettings) { e.Public = true })
		w.upstream("u1", "d1", 2, func(rw http.ResponseWriter, r *http.Request) {
			for name, values := range r.Header {
				if strings.Contains(strings.Join(values, ""), "good-key") || name == "X-Custom" || name == hToken || name == hPool {
					t.Errorf("upstream got %s: %v", name, values)
				}
			}
			io.WriteString(rw, r.RequestURI+"\n"+strings.Join(r.Header["Cookie"], "|")+"\n"+r.Header.Get("Authorization"))
		})
		for _, c := range cases {
			for _, addr := range []string{"a:public", "b:public"} {
				g := w.ask(addr, c.head+"\nHost: h\n\n")
				is.Equal(g.code, "100")
				is.Equal(g.body, c.uri+"\n"+c.cookie+"\n"+c.auth)
			}
		}
		w.close(a, b)
	})
}

// Guards against a running request that goes on under a revoked key.
func TestRevokedKeyEndsRequest(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		a, b := w.instance("a", "d1"), w.instance("b", "d1")
		running, ended := make(chan bool), make(chan bool)
		w.upstream("u1", "d1", 2, func(_ http.ResponseWriter, r *http.Request) {
			running <- true
			<-r.Context().Done()
			ended <- true
		})
		for _, addr := range []string{"a:public", "b:public"} {
			w.key("ws", "good-key")
			answer := make(chan got)
			go func() { answer <- w.ask(addr, "GET /ws/svc/x HTTP/1.1\nHost: h\nX-Api-Key: good-key\n\n") }()
			<-running
			w.revoke("good-key")
			<-ended
			g := <-answer
			is.Equal(g.code, "210")
			is.Equal(g.run, "unknown")
			is.Equal(w.get("/ws/svc/x").code, "203")
		}
		w.close(a, b)
	})
}
