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

// registerPrefix begins the keys of the register of instances, by which they find each other.
const registerPrefix = "instances/"

// registered is an instance's entry in the register.
type registered struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// RenewedMs is when the instance last wrote the entry, in true time, as Unix milliseconds.
	RenewedMs int64 `json:"renewed_ms"`
}

// renewInterval is the pace at which an instance renews its entry: ten times in memberMemory, after which an entry that
// was not renewed counts for nothing.
const renewInterval = memberMemory / 10

// registerIntervals are the pauses between looks at the register: soon after the start, when others start too, and
// rarely later, for partitions in which the peers lost each other.
var registerIntervals = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 20 * time.Second}

// register enters this instance in the register and reads it from time to time.
func (n *Node) register(ctx context.Context) {
	var entered time.Time
	for i := 0; ctx.Err() == nil; i++ {
		if entered.IsZero() || time.Since(entered) >= renewInterval {
			if err := n.enterRegister(ctx); err != nil {
				n.log.WithError(err).Info("instance not entered in the register")
			} else {
				entered = time.Now()
			}
		}
		if err := n.readRegister(ctx); err != nil {
			n.log.WithError(err).Info("register of instances not read")
		}
		pause := registerIntervals[min(i, len(registerIntervals)-1)]
		if entered.IsZero() {
			pause = min(pause, time.Second)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (n *Node) enterRegister(ctx context.Context) error {
	value, err := json.Marshal(registered{
		Address: n.settings.PeerListen, Zone: n.settings.Zone, Region: n.settings.Region, RenewedMs: n.wall.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	key := registerPrefix + n.settings.Name
	_, err = n.platform.Records.Put(ctx, key, value, 0)
	if !errors.Is(err, objstore.ErrConflict) && !errors.Is(err, objstore.ErrUnknownResult) {
		return err
	}
	old, err := n.platform.Records.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = n.platform.Records.Put(ctx, key, value, old.Version)
	return err
}

func (n *Node) readRegister(ctx context.Context) error {
	records, err := n.platform.Records.List(ctx, registerPrefix)
	if err != nil {
		return err
	}
	var list []peer.Member
	now, renewed := time.Now(), map[string]time.Time{}
	for _, r := range records {
		var e registered
		if err := json.Unmarshal(r.Value, &e); err != nil {
			n.log.WithError(err).WithField("object", r.Key).Warn("entry of the register skipped")
			continue
		}
		age := max(0, n.wall.Now().Sub(time.UnixMilli(e.RenewedMs)))
		if age > memberMemory {
			continue // gone for good
		}
		id := strings.TrimPrefix(r.Key, registerPrefix)
		renewed[id] = now.Add(-age)
		list = append(list, peer.Member{ID: id, Address: e.Address, FailureDomain: e.Zone, Region: e.Region})
	}
	n.members.setListed(renewed)
	n.mesh.UpdateMembers(list)
	return nil
}
