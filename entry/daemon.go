package entry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/platform"
	"github.com/trefoillug/trefoillug/relay"
)

const (
	// headerTimeout bounds how long a peer or operator may take to send a request header.
	headerTimeout = 5 * time.Second
	// reclaimMargin is the time kept between the hand-over and the end of a reclaim notice.
	reclaimMargin = 500 * time.Millisecond
)

// Daemon is an entry instance.
type Daemon struct {
	settings    Settings
	log         logrus.FieldLogger
	core        *core.Core
	runner      *runner
	store       objstore.Store
	lister      platform.InstanceLister
	noticer     platform.Noticer
	node        *peer.Node
	relay       *relay.Relay
	ready       atomic.Bool
	stop        chan time.Time // the time by which a reclaim ends this instance
	seenNotices map[platform.Notice]bool
}
