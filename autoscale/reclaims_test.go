package autoscale_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/autoscale"
)

// observe lets an estimator see four zones each second for a time, of which some are reclaimed.
func observe(r *autoscale.Reclaims, now time.Time, d time.Duration, reclaimed int) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(time.Second) {
		zones := service(8, 0, 4).Zones
		for i := range reclaimed {
			zones[i].Reclaimable = 0
		}
		r.Observe(zones, now)
	}
	return now
}

// Guards against a pool that pays for reclaims that do not come, and against one that has shrunk between the reclaims of
// a wave or is not larger after two at once.
func TestReclaims_CalmAndWaves(t *testing.T) {
	var r autoscale.Reclaims
	now := time.Unix(0, 0)
	must.Eq(t, 1.4, r.Ratio(now))
	now = observe(&r, now, 9*time.Minute, 0)
	must.Eq(t, 1.4, r.Ratio(now))
	now = observe(&r, now, time.Hour, 0)
	must.Between(t, 1.005, r.Ratio(now), 1.01)
	now = observe(&r, now, 20*time.Second, 1)
	must.Eq(t, 1.4, r.Ratio(now))
	now = observe(&r, now, 20*time.Second, 2)
	must.Eq(t, 1.5, r.Ratio(now))
	now = observe(&r, now, 5*time.Minute, 0)
	must.Eq(t, 1.5, r.Ratio(now))
	now = observe(&r, now, 15*time.Minute, 0)
	must.Between(t, 1.24, r.Ratio(now), 1.26)
	now = observe(&r, now, time.Hour, 1) // none are to be had
	must.Eq(t, 1.4, r.Ratio(now))
}

// Guards against zones that never had reclaimable endpoints and are taken for reclaimed ones.
func TestReclaims_ZonesWithoutReclaimable(t *testing.T) {
	var r autoscale.Reclaims
	now := time.Unix(0, 0)
	for range 3600 {
		r.Observe(service(8, 3, 0).Zones, now)
		now = now.Add(time.Second)
	}
	must.Less(t, 1.02, r.Ratio(now))
}

// Guards against a plan that does not cover the loss of the largest zone after a calm time, and against a new holder,
// whose estimate is another one, that changes the pool that it finds.
func TestReclaims_Plan(t *testing.T) {
	for need := 4.0; need <= 12; need++ {
		s := service(need, 0, 0)
		s.ReclaimableRatio = 1.02
		for i, w := range autoscale.Plan(s) {
			s.Zones[i].OnDemand, s.Zones[i].Reclaimable = 0, w.Reclaimable
		}
		wants := autoscale.Plan(s)
		must.GreaterEq(t, int(need), remainingAfterZoneLoss(s, wants))
		for _, ratio := range []float64{1.02, 1.4, 1.5} {
			again := s
			again.ReclaimableRatio = ratio
			again.Need = autoscale.CoveredNeed(s.Zones, ratio)
			for i, w := range autoscale.Plan(again) {
				must.Between(t, s.Zones[i].Reclaimable-1, w.Reclaimable, s.Zones[i].Reclaimable)
				must.Zero(t, w.OnDemand)
			}
		}
	}
}
