package node

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/trefoillug/trefoillug/feed"
	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/upstream"
)

// Guards against an odd entry that is logged at each list, or not again after it has changed, and against sound entries
// that are lost with it.
func TestEndpointHandler_LogsOddEntryOncePerRevision(t *testing.T) {
	log, hook := test.NewNullLogger()
	n := &Node{
		log:   log,
		fleet: fleet.NewTable(func(address string) *upstream.Pool { return upstream.NewPool(address, upstream.Settings{}) }),
		platform: Platform{DecodeEndpoint: func(id string, spec []byte, _ time.Time) (fleet.Entry, error) {
			if len(spec) == 0 {
				return fleet.Entry{}, errors.New("slots must be above 0")
			}
			return fleet.Entry{ID: id, Service: "s", Address: id, Slots: 1}, nil
		}},
	}
	h := &endpointHandler{n: n}
	odd := feed.Object{Name: "odd", Revision: 3}
	sound := feed.Object{Name: "a", Revision: 2, Spec: []byte("x")}
	change := func(o feed.Object) func() { return func() { h.Apply(feed.Event{Object: o}, true) } }
	list := func(objects ...feed.Object) func() { return func() { h.Replace(objects, true) } }
	for i, step := range []struct {
		do     func()
		logged int
	}{
		{list(odd, sound), 1}, {list(sound, odd), 1}, {change(odd), 1}, {change(feed.Object{Name: "odd", Revision: 4}), 2},
		{list(feed.Object{Name: "odd", Revision: 4}, sound), 2}, {list(sound), 2}, {list(sound, odd), 3},
		{func() { h.Apply(feed.Event{Object: odd, Deleted: true}, true) }, 3}, {change(odd), 4},
	} {
		step.do()
		warnings := 0
		for _, e := range hook.AllEntries() {
			if e.Level == logrus.WarnLevel {
				warnings++
				must.Eq(t, "odd", e.Data["endpoint"])
				must.ErrorContains(t, e.Data[logrus.ErrorKey].(error), "slots")
			}
		}
		must.Eq(t, step.logged, warnings, must.Sprint("step ", i))
		must.Len(t, 1, n.fleet.Service("s"))
	}
}
