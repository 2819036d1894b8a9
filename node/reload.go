package node

import (
	"reflect"
	"slices"
)

// reloadedSettings are the names of the fields of Settings that Reconfigure applies.
var reloadedSettings = []string{"MemoryBytes", "GracePeriod", "Repeats", "QuotaTolerance"}

// Reconfigure applies those changed settings that a running process can change: limits and bounds. Other changes are
// logged and have no effect until the next start.
func (n *Node) Reconfigure(s Settings) {
	n.quotas.SetTolerance(s.QuotaTolerance)
	n.retryBudgets.setLimit(s.Repeats)
	n.gracePeriod.Store(int64(s.GracePeriod))
	n.setMemory(s.MemoryBytes)
	if changed := fixedChanges(n.settings, s); len(changed) > 0 {
		n.log.WithField("settings", changed).Warn("changed settings take effect at the next start only")
	}
}

// fixedChanges returns the names of the changed fields that Reconfigure does not apply.
func fixedChanges(before, after Settings) (changed []string) {
	old, latest := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		name := old.Type().Field(i).Name
		if !slices.Contains(reloadedSettings, name) && !reflect.DeepEqual(old.Field(i).Interface(), latest.Field(i).Interface()) {
			changed = append(changed, name)
		}
	}
	return changed
}
