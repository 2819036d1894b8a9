package graceful

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/trefoillug/trefoillug/loglimit"
)

// Reason states why the server closed a connection.
type Reason string

// Reasons to close a connection.
const (
	ReasonIdleAtStop    Reason = "idle_at_stop"   // Shutdown closed it while no request was on it
	ReasonIdleTimeout   Reason = "idle_timeout"   // no request came in time
	ReasonHeaderTimeout Reason = "header_timeout" // a header did not arrive in time
	ReasonClose         Reason = "close"          // Close closed it, such as at the end of the grace time
	ReasonConnLimit     Reason = "conn_limit"     // another connection took its place at the bound
	ReasonRefused       Reason = "refused"        // refused at the bound, before anything was read
)

var reasons = []Reason{
	ReasonIdleAtStop, ReasonIdleTimeout, ReasonHeaderTimeout, ReasonClose, ReasonConnLimit, ReasonRefused,
}

// Closing describes a connection that the server closes by its own decision.
type Closing struct {
	Reason Reason
	State  http.ConnState // StateNew, StateIdle or StateActive: a request is being answered
	Begun  bool           // bytes of a request were read that is not answered
	Caller string         // host:port
}

// Report returns a function for Server.OnClose that logs the connections and counts them by reason, state and whether
// a request had begun.
func Report(log logrus.FieldLogger, scope tally.Scope) func(Closing) {
	limits := map[Reason]*loglimit.Limit{}
	for _, r := range reasons {
		limits[r] = &loglimit.Limit{}
	}
	return func(c Closing) {
		begun := strconv.FormatBool(c.Begun)
		scope.Tagged(map[string]string{"reason": string(c.Reason), "state": c.State.String(), "begun": begun}).
			Counter("connections_closed").Inc(1)
		entry := log.WithFields(logrus.Fields{
			"reason": c.Reason, "state": c.State.String(), "begun": c.Begun, "caller": c.Caller,
		})
		if c.Begun && !limits[c.Reason].Allow(time.Now()) {
			return // counted only
		}
		if c.Begun {
			entry.Warn("connection closed under a request")
			return
		}
		entry.Debug("connection closed")
	}
}
