package node

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/peer"
)

// registerPrefix is the key prefix of the register, through which instances find each other.
const registerPrefix = "instances/"

// registerEntry is the entry of an instance in the register.
type registerEntry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// RenewedMs is the time of day at which the instance last wrote the entry, in Unix milliseconds.
	RenewedMs int64 `json:"renewed_ms"`
}

const (
	// renewInterval is how often an instance renews its entry: ten times in memberRetention, after which an entry that
	// was not renewed is ignored.
	renewInterval = memberRetention / 10
	// largeRenewInterval is renewInterval of a large fleet, whose renewals are two a second at 118 instances otherwise. An
	// entry must not be older than 5 minutes, half of the time for which it counts, while the store fails for 3 minutes.
	largeRenewInterval = memberRetention / 5
	// maxRegisterPause bounds the pause between reads of a large fleet: an instance that only the register knows is found
	// before its entry is ignored.
	maxRegisterPause = memberRetention / 4
	// knownShare is the share of the registered instances that an instance must know as live to read the register less
	// often. Fewer are known in a partition, in which the register may show new instances on the other side.
	knownShare = 0.75
)

// registerPauses are the pauses between reads of the register: short after the start, when others start too, and long
// later, for partitions in which the peers have lost each other.
var registerPauses = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 20 * time.Second}

// maintainRegister keeps this instance's entry in the register up to date and reads the register periodically.
func (n *Node) maintainRegister(ctx context.Context) {
	var written time.Time
	version := uint64(0)
	var read time.Time // last successful read
	for i := 0; ctx.Err() == nil; i++ {
		if written.IsZero() || time.Since(written) >= n.renewInterval() {
			stored, err := n.writeRegisterEntry(ctx, version)
			if err != nil {
				n.log.WithError(err).Info("register entry not written")
			} else {
				version, written = stored, time.Now()
				n.cold.recordRenewed(written)
			}
		}
		if i < len(registerPauses) || time.Since(read) >= n.registerPause() {
			if err := n.readRegister(ctx); err != nil {
				n.log.WithError(err).Info("register not read")
			} else {
				read = time.Now()
			}
		}
		pause := registerPauses[min(i, len(registerPauses)-1)]
		if written.IsZero() {
			pause = min(pause, time.Second)
		}
		select {
		case <-ctx.Done():
		case <-n.registerSoon:
			written = time.Time{} // the store may have forgotten the entry
			n.recordedAgain("register")
		case <-time.After(pause):
		}
	}
}

func (n *Node) renewInterval() time.Duration {
	if len(n.memberIDs()) > largeFleet {
		return largeRenewInterval
	}
	return renewInterval
}

// registerPause returns the time between reads of the register. The quick watchers read it for the others, who hear from them
// of instances that only the register shows.
func (n *Node) registerPause() time.Duration {
	shortest := registerPauses[len(registerPauses)-1]
	if n.isQuickWatcher(n.platform.Kinds.Endpoints) {
		return shortest
	}
	return registerPause(shortest, len(n.memberIDs()), n.members.registeredCount())
}

// registerPause returns the pause of an instance that knows live instances and has read registered ones. It grows with the
// fleet, so that the fleet's reads don't.
func registerPause(shortest time.Duration, live, registered int) time.Duration {
	if live <= largeFleet || float64(live) < knownShare*float64(registered) {
		return shortest
	}
	return min(maxRegisterPause, shortest*time.Duration(live)/largeFleet)
}

// writeRegisterEntry replaces the entry, whose version is expected to be version; 0: none. It returns the new version.
func (n *Node) writeRegisterEntry(ctx context.Context, version uint64) (uint64, error) {
	value, err := json.Marshal(registerEntry{
		Address: n.settings.PeerListen, Zone: n.settings.Zone, Region: n.settings.Region, RenewedMs: n.wall.Now().UnixMilli(),
	})
	if err != nil {
		return 0, err
	}
	key := registerPrefix + n.settings.Name
	stored, err := n.platform.Records.Put(ctx, key, value, version)
	if !errors.Is(err, objstore.ErrConflict) && !errors.Is(err, objstore.ErrUnknownResult) {
		return stored, err
	}
	old, err := n.platform.Records.Get(ctx, key)
	if err != nil && !errors.Is(err, objstore.ErrNotFound) {
		return 0, err
	}
	if old.Version == 0 && version > 0 {
		n.cold.recordLost()
	}
	// An entry that a restored store lacks is created again.
	return n.platform.Records.Put(ctx, key, value, old.Version)
}

func (n *Node) readRegister(ctx context.Context) error {
	records, err := n.platform.Records.List(ctx, registerPrefix)
	if err != nil {
		return err
	}
	var list []peer.Member
	now, renewed := time.Now(), map[string]time.Time{}
	for _, record := range records {
		var entry registerEntry
		if err := json.Unmarshal(record.Value, &entry); err != nil {
			n.log.WithError(err).WithField("object", record.Key).Warn("invalid register entry skipped")
			continue
		}
		age := max(0, n.wall.Now().Sub(time.UnixMilli(entry.RenewedMs)))
		if age > memberRetention {
			continue // expired
		}
		id := strings.TrimPrefix(record.Key, registerPrefix)
		renewed[id] = now.Add(-age)
		list = append(list, peer.Member{ID: id, Address: entry.Address, FailureDomain: entry.Zone, Region: entry.Region})
	}
	n.members.setRegistered(renewed)
	n.mesh.UpdateMembers(list)
	return nil
}
