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

// renewInterval is how often an instance renews its entry: ten times in memberRetention, after which an entry that
// was not renewed is ignored.
const renewInterval = memberRetention / 10

// registerPauses are the pauses between reads of the register: short after the start, when others start too, and long
// later, for partitions in which the peers have lost each other.
var registerPauses = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 20 * time.Second}

// maintainRegister keeps this instance's entry in the register up to date and reads the register periodically.
func (n *Node) maintainRegister(ctx context.Context) {
	var written time.Time
	version := uint64(0)
	for i := 0; ctx.Err() == nil; i++ {
		if written.IsZero() || time.Since(written) >= renewInterval {
			stored, err := n.writeRegisterEntry(ctx, version)
			if err != nil {
				n.log.WithError(err).Info("register entry not written")
			} else {
				version, written = stored, time.Now()
				n.cold.recordRenewed(written)
			}
		}
		if err := n.readRegister(ctx); err != nil {
			n.log.WithError(err).Info("register not read")
		}
		pause := registerPauses[min(i, len(registerPauses)-1)]
		if written.IsZero() {
			pause = min(pause, time.Second)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
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
	if err != nil {
		return 0, err
	}
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
