package crash

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against refusing the requests of one caller for those of another, or good
// requests for a bad one on the same path.
func TestFingerprintsDiffer(t *testing.T) {
	is := is.New(t)
	base := Request{Method: "POST", Host: "shop.example", URI: "/files/1?size=2", Workspace: "main", Body: []byte("abc"), Length: 3}
	again := base
	is.Equal(again.Fingerprint(), base.Fingerprint())
	seen := map[Fingerprint]bool{base.Fingerprint(): true}
	for _, change := range []func(*Request){
		func(r *Request) { r.Method = "PUT" },
		func(r *Request) { r.Host = "shop.exampl" },
		func(r *Request) { r.Host, r.URI = "shop.example/files", "/1?size=2" },
		func(r *Request) { r.URI = "/files/1?size=3" },
		func(r *Request) { r.Workspace = "other" },
		func(r *Request) { r.Workspace = "" },
		func(r *Request) { r.Body = []byte("abd") },
		func(r *Request) { r.Length = 4 },
	} {
		r := base
		change(&r)
		f := r.Fingerprint()
		is.True(!seen[f])
		seen[f] = true
	}
}

// BenchmarkFingerprint measures what each request costs while any is suspected.
func BenchmarkFingerprint(b *testing.B) {
	r := Request{Method: "GET", Host: "shop.example", URI: "/files/16/5e4b", Workspace: "main"}
	b.ReportAllocs()
	for b.Loop() {
		r.Fingerprint()
	}
}
