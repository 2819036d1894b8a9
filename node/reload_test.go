package node

import (
	"bytes"
	"reflect"
	"runtime/debug"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/limit"
	"github.com/trefoillug/trefoillug/quota"
)

// change sets a field to another value.
func change(f reflect.Value) {
	switch f.Kind() {
	case reflect.String:
		f.SetString(f.String() + "x")
	case reflect.Bool:
		f.SetBool(!f.Bool())
	case reflect.Int, reflect.Int64:
		f.SetInt(f.Int() + int64(time.Second))
	case reflect.Float64:
		f.SetFloat(f.Float() + 1)
	case reflect.Slice:
		f.Set(reflect.Append(f, reflect.Zero(f.Type().Elem())))
	case reflect.Map:
		f.Set(reflect.ValueOf(map[string]string{"x": "x"}))
	case reflect.Struct:
		for i := range f.NumField() {
			change(f.Field(i))
		}
	}
}

// Guards against a changed setting that a reload silently leaves out, such as a longer grace period, by which the next
// stop cuts requests too early.
func TestReconfigure_EachSetting(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	before := Settings{Name: "n", GracePeriod: 8 * time.Second, MemoryBytes: 1 << 30, Repeats: limit.RepeatLimit{Ratio: 0.2}}
	for i := range reflect.TypeFor[Settings]().NumField() {
		name := reflect.TypeFor[Settings]().Field(i).Name
		var out bytes.Buffer
		log := logrus.New()
		log.SetOutput(&out)
		n := &Node{settings: before, log: log, quotas: quota.NewLedger("n", quota.Tolerance{}, 1, time.Now())}
		n.retryBudgets.limit, n.retryBudgets.byService = before.Repeats, map[string]*limit.RepeatBudget{}
		after := before
		change(reflect.ValueOf(&after).Elem().Field(i))
		must.False(t, reflect.DeepEqual(before, after), must.Sprint(name))
		n.Reconfigure(after)
		switch name {
		case "GracePeriod":
			must.Eq(t, after.GracePeriod, time.Duration(n.gracePeriod.Load()))
		case "Repeats":
			must.Eq(t, after.Repeats, n.retryBudgets.limit)
		case "MemoryBytes":
			must.Eq(t, int64(float64(after.MemoryBytes)*memoryShare), debug.SetMemoryLimit(-1))
		case "QuotaTolerance": // the ledger keeps it to itself
		default:
			must.StrContains(t, out.String(), name)
			continue
		}
		must.Eq(t, "", out.String(), must.Sprint(name))
	}
}
