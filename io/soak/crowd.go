package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// Kinds of crowds of clients that do not behave. They stay connected for a while, as
// many at once as crowdClients.
const (
	Bodies Kind = "bodies" // requests at an entry process whose bodies stop one byte short
	Heads  Kind = "heads"  // heads of very short fields, with a body that does not come
)

const (
	crowdClients = 300
	crowdBody    = 64 << 10 // bytes
	crowdFields  = 2500     // of a head of less than 16 KiB
	crowdTimeout = 2 * time.Second
	// memoryBound is the memory of each process in its settings, in MB.
	memoryBound = 64
)

// planCrowds draws a crowd for each round of faults, whose faults it overlaps.
func planCrowds(rng *rand.Rand, length time.Duration) (steps []Step) {
	kinds := []Kind{Bodies, Heads}
	for round := time.Duration(0); round+roundFor <= length; round += roundFor + quietFor {
		steps = append(steps, Step{
			At:   round + time.Duration(rng.Int64N(int64(roundFor-faultMost))),
			Kind: kinds[rng.IntN(len(kinds))],
			On:   rng.IntN(1000),
			For:  faultMost,
		})
	}
	return steps
}

// crowdText returns what each client of a crowd sends, with the header of a request.
func crowdText(h http.Header, kind Kind) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /open/crowd HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", host, crowdBody)
	h.Write(&b) // a bytes.Buffer does not fail
	if kind == Heads {
		for i := range crowdFields {
			fmt.Fprintf(&b, "%c%c:\r\n", 'a'+i%26, 'a'+i/26%26)
		}
	}
	b.WriteString("\r\n")
	if kind == Bodies {
		b.Write(make([]byte, crowdBody-1))
	}
	return b.Bytes()
}

// crowd connects a crowd to an entry process and checks the memory of the process
// afterwards. A process that is down or cut off gets a smaller one.
func (r *run) crowd(ctx context.Context, p *Proc, s Step) {
	end := r.ledger.Fault()
	defer func() { end(time.Now()) }()
	r.note(s.Kind, p.Name)
	leave := time.Now().Add(s.For)
	q := Query{ID: "crowd", Host: host, Path: "/open/crowd", Deadline: leave.Add(crowdTimeout)}
	req, err := r.cfg.Wire.Request(ctx, p.Public(), q)
	if err != nil {
		r.ledger.Break(Alive, time.Now(), q.ID, "building a request: %v", err)
		return
	}
	text := crowdText(req.Header, s.Kind)
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for len(conns) < crowdClients && ctx.Err() == nil && time.Now().Before(leave) {
		c, err := net.DialTimeout("tcp", p.Public(), crowdTimeout)
		if err != nil {
			break
		}
		conns = append(conns, c)
		c.SetWriteDeadline(time.Now().Add(crowdTimeout))
		c.Write(text) // fails if the process has closed the connection, as it may
	}
	r.pause(ctx, time.Until(leave))
	if mb, ok := p.peakMemory(); ok && mb > memoryBound {
		r.ledger.Break(InMemory, time.Now(), "", "%s used %d MB of %d", p.Name, mb, memoryBound)
	}
}

// peakMemory returns the largest resident size of the process so far, in MB, where the
// operating system tells it.
func (p *Proc) peakMemory() (mb int, ok bool) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return 0, false
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0, false
	}
	return parsePeak(text)
}

// parsePeak returns the peak of the resident size in the status of a process, in MB.
func parsePeak(text []byte) (mb int, ok bool) {
	for line := range bytes.Lines(text) {
		f := bytes.Fields(line)
		if len(f) == 3 && string(f[0]) == "VmHWM:" {
			kb, err := strconv.Atoi(string(f[1]))
			return kb / 1024, err == nil
		}
	}
	return 0, false
}
