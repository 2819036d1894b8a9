package node

import (
	"math/rand/v2"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/era"
)

const (
	// tokensPerEra is how many fencing tokens an era has: more than there can be holders of the duties in one.
	tokensPerEra = 1 << 20
	// maxStatedEra bounds the eras by which tokens are counted, so that tokens stay below 2^53 and are exact in any format.
	maxStatedEra = 1 << 32
	// tokensPerMilli is the number of tokens for each millisecond of the wall clock. Two instances that choose a token in
	// the same one choose different ones nearly always.
	tokensPerMilli = 1 << 10
)

// followEras follows the eras of the store.
func (n *Node) followEras() {
	n.eras.OnChange(func(s era.State, cause era.Cause) {
		n.metrics.scope.Tagged(map[string]string{"cause": string(cause)}).Counter("store_eras").Inc(1)
		n.log.WithFields(logrus.Fields{"era": s.Number, "stated": s.Stated, "cause": cause}).
			Warn("the store was restored from an older copy; all state is read again")
		n.stateChanged.Store(true) // so that the peers learn of it
		select {
		case n.registerSoon <- struct{}{}:
		default:
		}
		n.suspects.storeAgain()
	})
	n.eras.OnProblem(func(err error) { n.log.WithError(err).Warn("era of the store can't be used") })
}

// recordedAgain counts a part of the state that this instance writes again because a restored store has forgotten it.
func (n *Node) recordedAgain(part string) {
	n.metrics.scope.Tagged(map[string]string{"part": part}).Counter("store_written_again").Inc(1)
}

// minToken returns a fencing token of the duties above all that may have been granted without this instance's knowledge. A
// store that states its eras gives each one a range of tokens; one that was restored lacks the grants of earlier eras only.
// Without that the wall clock takes the place of the era, which is advanced by the boot clock and differs between instances
// by less than the time in which the duties change hands.
func (n *Node) minToken(highest uint64) uint64 {
	fromClock := uint64(n.wall.Now().UnixMilli())*tokensPerMilli + rand.Uint64N(tokensPerMilli)
	s := n.eras.State()
	if !s.IsStated || s.Stated >= maxStatedEra {
		return fromClock
	}
	if highest/tokensPerEra > s.Stated {
		return fromClock // tokens were chosen by the clock before the store stated its era
	}
	return s.Stated*tokensPerEra + 1
}
