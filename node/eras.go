package node

import (
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/era"
)

// followEras follows the eras of the store.
func (n *Node) followEras() {
	n.eras.OnChange(func(s era.State, cause era.Cause) {
		n.metrics.scope.Tagged(map[string]string{"cause": string(cause)}).Counter("store_eras").Inc(1)
		n.log.WithFields(logrus.Fields{"era": s.Number, "stated": s.Stated, "cause": cause}).
			Warn("the store was restored from an older copy; all state is read again")
		n.stateChanged.Store(true) // so that the peers learn of it
	})
	n.eras.OnProblem(func(err error) { n.log.WithError(err).Warn("era of the store can't be used") })
}
