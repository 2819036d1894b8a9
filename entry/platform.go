package entry

import (
	"context"
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/peer"
)

const (
	// listInterval is the time between two reads of the instance list, which is itself seconds old.
	listInterval = time.Second
	// noticeInterval is the time between two reads of the reclaim notices, which come seconds before the reclaim.
	noticeInterval = 500 * time.Millisecond
	// platformTimeout bounds one call to the platform.
	platformTimeout = 2 * time.Second
)

// every calls fn at once and then at each interval until ctx is done.
func every(ctx context.Context, interval time.Duration, fn func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		fn(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// readInstances passes the instance list to the core and to the peer node. After a failed read the last list stays in
// use.
func (d *Daemon) readInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	list, err := d.lister.Instances(ctx)
	if err != nil {
		d.log.WithError(err).Warn("instance list not read; the last one stays in use")
		return
	}
	if d.listRead.Load() && slices.Equal(list, d.lastList) {
		return
	}
	d.lastList = list
	d.runner.Post(core.InstancesListed{Instances: list})
	d.listRead.Store(true)
	d.updateMembers(list)
}

// readNotices passes reclaim notices to the core, and starts the handover if this instance is being reclaimed.
func (d *Daemon) readNotices(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	notices, err := d.noticeLister.Notices(ctx)
	if err != nil {
		d.log.WithError(err).Warn("reclaim notices not read")
		return
	}
	for _, n := range notices {
		if d.seenNotices[n] || time.Now().After(n.ReclaimAt) {
			continue
		}
		d.seenNotices[n] = true
		if d.concernsSelf(n) {
			d.reclaim(n.ReclaimAt)
		}
		d.runner.Post(core.EndpointLeaving{Endpoint: n.Instance, FailureDomain: n.FailureDomain, LeaveBy: n.ReclaimAt})
	}
}

func (d *Daemon) concernsSelf(n cloud.Notice) bool {
	if n.Instance != "" {
		return n.Instance == d.settings.ID
	}
	return n.FailureDomain == d.settings.FailureDomain
}

func (d *Daemon) updateMembers(list []cloud.Instance) {
	var members []peer.Member
	for _, in := range list {
		if in.Role == cloud.RoleEntry {
			members = append(members, peer.Member{
				ID: in.ID, Address: in.Address, FailureDomain: in.FailureDomain, Region: in.Region,
				Leaving: in.State == cloud.StateLeaving,
			})
		}
	}
	d.node.UpdateMembers(members)
	d.runner.Post(core.MembersChanged{IDs: d.memberIDs(members)})
}

// memberIDs returns the IDs of the entry instances on the list and of the members of the peer node.
func (d *Daemon) memberIDs(listed []peer.Member) []string {
	ids := map[string]bool{}
	for _, m := range append(listed, d.node.Members()...) {
		ids[m.ID] = true
	}
	return sortedKeys(ids)
}
