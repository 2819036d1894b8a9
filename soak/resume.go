package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/trefoillug/trefoillug/standin"
)

const (
	// maxResumes is how often a caller resumes a stream.
	maxResumes = 3
	// abandonShare is the share of resumable streams that their callers resume while the old connection is open.
	abandonShare = 0.08
	// abandonedTime is how long a caller keeps the connection of a stream that it has resumed elsewhere.
	abandonedTime = time.Second
)

// mayResume reports whether a caller may ask for the rest of a stream after an attempt.
func (a *Attempt) mayResume() bool {
	broken := !a.Complete && (a.Status == 0 || a.Status == http.StatusOK)
	return a.Call.Resumable() && (broken || a.Abandoned || a.Status == http.StatusBadGateway || a.Status == http.StatusServiceUnavailable)
}

// position returns the number of the last whole event that a caller has after an attempt.
func (a *Attempt) position() int {
	position := a.Call.After
	if a.Status != http.StatusOK {
		return position
	}
	for text := range strings.SplitAfterSeq(a.Body, "\n\n") {
		var id int
		if _, line, ok := strings.Cut("\n"+text, "\nid: "); ok && strings.HasSuffix(text, "\n\n") {
			if _, err := fmt.Sscanf(line, "%d\n", &id); err == nil {
				position = id
			}
		}
	}
	return position
}

// resume asks for the rest of a stream that broke off, at the same instance or at another one.
func (c *caller) resume(ctx context.Context, b *balancer, first Attempt) {
	served := c.target
	for a, n := first, 0; n < maxResumes && ctx.Err() == nil && a.mayResume() && a.position() > 0; n++ {
		if c.rng.IntN(2) == 0 {
			sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(meanPause)))
		}
		call := a.Call
		c.calls++
		call.ID, call.After = fmt.Sprintf("%s%08x", c.name, c.calls), a.position()
		if c.target = served; served == nil || c.rng.IntN(2) == 0 {
			c.target = b.pick(c.rng)
		}
		served = c.target
		resumed := c.attempt(context.WithoutCancel(ctx), call)
		resumed.Resumes = a.Call.ID
		c.env.evidence.addAttempt(resumed)
		a = resumed
	}
	c.target = nil
}

// readSome reads a response body up to a number of events, and keeps its connection open for abandonedTime. It reports
// whether the body has not ended before.
func readSome(resp *http.Response, events int, cancel func()) (body string, open bool) {
	b := make([]byte, 0, 4096)
	buffer := make([]byte, 512)
	for strings.Count(string(b), "\n\n") < events && len(b) < maxBody {
		n, err := resp.Body.Read(buffer)
		b = append(b, buffer[:n]...)
		if err != nil {
			return string(b), false
		}
	}
	time.AfterFunc(abandonedTime, func() {
		_ = resp.Body.Close() // nothing more is read
		cancel()
	})
	return string(b), true
}

// drawAbandon returns the number of events after which a caller resumes a stream while it is still open; 0: never.
func (c *caller) drawAbandon(call standin.PlatformCall) int {
	if !c.env.site.Resumes || call.Block != "" || !call.Resumable() || c.rng.Float64() >= abandonShare {
		return 0
	}
	return 1 + c.rng.IntN(c.env.site.NotesEvents/2)
}
