package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/fleet"
)

// receiveSignals logs and counts what an endpoint says of itself with an answer. isNew: see fleet.Table.OnSignal.
func (n *Node) receiveSignals(e *fleet.Endpoint, s fleet.Signals, isNew bool) {
	scope := n.metrics.scope.SubScope("endpoints")
	log := n.log.WithFields(logrus.Fields{"endpoint": e.ID, "service": e.Service})
	if s.Leaving {
		scope.Counter("leaving_answers").Inc(1)
		if isNew {
			log.Info("endpoint answers that it is leaving")
			n.announceDeparture(e, time.Now())
		}
	}
	if s.Pause > 0 {
		scope.Counter("pauses").Inc(1)
		if isNew {
			log.WithField("ms", s.Pause.Milliseconds()).Info("endpoint is full and wants no requests")
		}
	}
	if s.Rejected {
		n.metrics.scope.SubScope("brittle").Counter("rejections").Inc(1)
	}
	if s.Invalid != nil {
		scope.Counter("invalid_signals").Inc(1)
		if e.FirstInvalid() {
			log.WithError(s.Invalid).Warn("endpoint answered with an invalid header")
		}
	}
}
