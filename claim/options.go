package claim

import "time"

// Options of a Service. Zero values take the defaults below.
type Options struct {
	// Slots is the number of slot objects. All instances must use the same number.
	Slots int
	// WritesPerSecond is the store write budget of all slots together.
	WritesPerSecond float64
	// OwnerTimeout is the time an instance waits for the owner of a slot before it writes the slot itself.
	OwnerTimeout time.Duration
	// OwnerSkipTime is the time for which an owner that did not answer is skipped.
	OwnerSkipTime time.Duration
	// StoreTimeout bounds one store operation.
	StoreTimeout time.Duration
	// MaxWait bounds a claim whose context has no earlier deadline.
	MaxWait time.Duration
	// Retention is the shortest time for which an outcome is kept.
	Retention time.Duration
	// CacheBytes bounds the memory of cached indexes of sealed segments, which take 8 bytes a claim. When the indexes
	// of the slots that this instance owns do not fit, each claim reads segments from the store.
	CacheBytes int

	sealBytes  int // size at which the open segment is sealed; tests lower it
	mergeBytes int // total size at which small segments are merged; tests lower it
}

const (
	// A write interval of defaultSlots/defaultWrites = 107 ms per slot bounds the added delay at high load. More
	// slots would spread the work over more owners but lengthen the interval in proportion.
	defaultSlots  = 16
	defaultWrites = 150

	defaultOwnerTimeout  = 750 * time.Millisecond
	defaultOwnerSkipTime = 2 * time.Second
	defaultStoreTimeout  = 3 * time.Second
	defaultMaxWait       = 10 * time.Minute
	// One hour above the promised 24 hours covers clock differences and the longest dispatch after a claim.
	defaultRetention  = 25 * time.Hour
	defaultCacheBytes = 48 << 20
	// Each write contains the whole open segment: with a segment of 256 KiB, 420 calls a second would cost 32 KB/s for
	// each of 650 instances.
	defaultSealBytes  = 8 << 10
	defaultMergeBytes = 256 << 10
)

func (o Options) withDefaults() Options {
	o.Slots = orDefault(o.Slots, defaultSlots)
	o.WritesPerSecond = orDefault(o.WritesPerSecond, defaultWrites)
	o.OwnerTimeout = orDefault(o.OwnerTimeout, defaultOwnerTimeout)
	o.OwnerSkipTime = orDefault(o.OwnerSkipTime, defaultOwnerSkipTime)
	o.StoreTimeout = orDefault(o.StoreTimeout, defaultStoreTimeout)
	o.MaxWait = orDefault(o.MaxWait, defaultMaxWait)
	o.Retention = orDefault(o.Retention, defaultRetention)
	o.CacheBytes = orDefault(o.CacheBytes, defaultCacheBytes)
	o.sealBytes = orDefault(o.sealBytes, defaultSealBytes)
	o.mergeBytes = orDefault(o.mergeBytes, defaultMergeBytes)
	return o
}

func orDefault[T int | float64 | time.Duration](v, def T) T {
	if v > 0 {
		return v
	}
	return def
}
