package config_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/standin"
)

// singleMemberMesh is a peer.Mesh without other members.
type singleMemberMesh struct{}

func (singleMemberMesh) Self() peer.Member                     { return peer.Member{ID: "i1", FailureDomain: "fd1"} }
func (m singleMemberMesh) Members() []peer.Member              { return []peer.Member{m.Self()} }
func (singleMemberMesh) Publish(string, []byte, time.Duration) {}
func (singleMemberMesh) Subscribe(string, func(peer.Fact))     {}
func (singleMemberMesh) Handle(string, peer.Handler)           {}
func (singleMemberMesh) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, errors.New("no such member")
}

// Guards against a difference between the in-memory fakes of the other tests and the object API over HTTP. The test
// covers a publish whose response is lost, a watch, a stalled watch and an outage.
func TestDistributor_OverHTTP(t *testing.T) {
	objects := standin.NewObjects(standin.ObjectsOptions{Latency: time.Millisecond})
	server := httptest.NewServer(objects)
	defer server.Close()
	publish := func(version string) {
		s := config.Service{Name: "a", Kind: config.KindPlain, ServingVersion: version, Versions: []config.Version{{Name: version}}}
		_, err := config.NewPublisher(objstore.NewClient(server.URL, nil)).Publish(t.Context(), []config.Service{s}, nil)
		must.NoError(t, err)
	}
	applied := make(chan string, 10)
	log, _ := logtest.NewNullLogger()
	timing := config.DefaultTiming()
	timing.StartPeerWait, timing.WatchTimeout, timing.MaxRetryDelay = 100*time.Millisecond, time.Second, time.Second
	d := config.NewDistributor(config.Options{
		Store: objstore.NewClient(server.URL, nil), Mesh: singleMemberMesh{}, Log: log, Timing: timing,
		Apply: func(_ uint64, services []*config.Service) { applied <- services[0].ServingVersion },
	})
	next := func() string {
		select {
		case v := <-applied:
			return v
		case <-time.After(13 * time.Second):
			return "nothing applied within the bound"
		}
	}
	objects.SetFaults(standin.Faults{LoseAnswers: 1, LosePrefix: config.HeadKey})
	publish("v1")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.Run(ctx)
	}()
	must.Eq(t, "v1", next())
	publish("v2")
	must.Eq(t, "v2", next())
	for objects.Counts().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	objects.SetFaults(standin.Faults{StallWatches: true})
	time.Sleep(20 * time.Millisecond)
	objects.SetFaults(standin.Faults{})
	publish("v3")
	must.Eq(t, "v3", next())
	objects.SetFaults(standin.Faults{Down: true})
	time.Sleep(300 * time.Millisecond)
	objects.SetFaults(standin.Faults{})
	publish("v4")
	must.Eq(t, "v4", next())
	cancel()
	<-ended
}
