package loglimit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a crowd that floods the log, and against lines that are missing once it has left.
func TestLimit_PerSecond(t *testing.T) {
	var l Limit
	now := time.Unix(1000, 0)
	allowed := 0
	for range 10 * DefaultLines {
		if l.Allow(now) {
			allowed++
		}
	}
	must.Eq(t, DefaultLines, allowed)
	must.True(t, l.Allow(now.Add(time.Second)))
}
