package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/pool"
	"github.com/trefoillug/trefoillug/table"
)

// Guards against releasing the capacity of the old version while a move can still be rolled back, which returns all
// traffic to it at once, and against a served version that counts as not needed.
func TestVersionDemands_Move(t *testing.T) {
	start := time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	svc := &table.Service{
		Config: &config.Service{
			ServingVersion: "v1", Versions: []config.Version{{Name: "v1"}, {Name: "v2"}, {Name: "v0"}},
			Move: &config.Move{From: "v1", To: "v2", Start: start, Deadline: start.Add(time.Hour)},
		},
		Shares: []table.Share{{Version: "v2", Fraction: 1}},
	}
	both := []pool.VersionDemand{{Version: "v1", MaxShare: 1, Needed: true}, {Version: "v2", MaxShare: 1, Needed: true}, {Version: "v0"}}
	must.Eq(t, both, versionDemands(svc, start.Add(-20*time.Minute)))
	must.Eq(t, both, versionDemands(svc, start.Add(80*time.Minute)))
	both[0].MaxShare = 0
	must.Eq(t, both, versionDemands(svc, start.Add(2*time.Hour)))
}
