package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against reporting only the first of several invalid settings, or omitting the flag's name.
func TestSettings_AllProblemsAtOnce(t *testing.T) {
	err := Settings{
		Listen: "8080", PeerListen: "127.0.0.1:1", Peers: []string{"here"}, StoreURL: "ftp://x", PlatformURL: "http://127.0.0.1:1",
		LogLevel: "loud", BalancerDelay: -time.Second,
	}.Validate()
	must.Error(t, err)
	for _, flag := range []string{"--id", "--failure-domain", "--listen", "--peers", "--store", "--log-level", "--balancer-delay"} {
		must.StrContains(t, err.Error(), flag)
	}
	must.StrNotContains(t, err.Error(), "--platform")
}

// Guards against rejecting valid settings.
func TestSettings_Valid(t *testing.T) {
	must.NoError(t, Settings{
		ID: "entry-1", FailureDomain: "a", Listen: "127.0.0.1:8080", PeerListen: "127.0.0.1:8081", StoreURL: "http://127.0.0.1:7000",
		PlatformURL: "https://127.0.0.1:7001", LogLevel: "info",
	}.Validate())
}
