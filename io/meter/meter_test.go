package meter

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"corianderwing"
)

// Guards against an unintended change of metric names and units.
func TestReportFormats(t *testing.T) {
	is := is.New(t)
	m := New()
	for i := 1; i <= 100; i++ {
		m.RecordResponse("w", corianderwing.Normal, corianderwing.OK, time.Duration(i)*time.Millisecond)
	}
	m.RecordResponse("w", corianderwing.Urgent, corianderwing.RateExceeded, 0)
	m.Counter("hops").Inc(3)
	m.Gauge("members").Update(12)
	m.RecordViolation("i3")
	goldie.New(t).Assert(t, "text", []byte(m.Report().Text()))
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/-/metrics", nil))
	var back Report
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &back))
	is.Equal(back, m.Report())
	goldie.New(t).Assert(t, "json", w.Body.Bytes())
}

// Guards against counts lost while series are added concurrently, and against
// memory that grows without bound with the number of workspaces.
func TestSeriesLimit(t *testing.T) {
	is := is.New(t)
	m := New()
	const workers, each = 4, maxSeries + 100
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range each {
				m.RecordResponse(corianderwing.WorkspaceID(fmt.Sprintf("w%d", i)), corianderwing.Normal, corianderwing.OK, time.Millisecond)
			}
		})
	}
	wg.Wait()
	r := m.Report()
	is.Equal(len(r.Times), maxSeries+1)
	is.Equal(r.Times[0].Workspace, Other)
	is.Equal(r.Times[0].Count, int64(100*workers))
	is.Equal(r.Codes[0].Count, int64(each*workers))
}

func BenchmarkRecordResponse(b *testing.B) {
	m := New()
	b.ReportAllocs()
	for b.Loop() {
		m.RecordResponse("w", corianderwing.Normal, corianderwing.OK, time.Millisecond)
	}
}
