package pool

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/objstore"
)

// profile is the value of the object pool/profile/<service>: the highest rate in each step of two days. It is kept in
// the store because instances have no disks and the holder of the duty changes.
type profile struct {
	Day       int64                 `cbor:"1,keyasint"` // of Today, in days since 1970 UTC
	Today     [ProfileSteps]float32 `cbor:"2,keyasint"`
	Yesterday [ProfileSteps]float32 `cbor:"3,keyasint"`
}

// observe adds the rate at the time now. If a new day has begun, it first makes today's rates those of yesterday, or
// drops them if they are older.
func (p *profile) observe(now time.Time, rate float64) {
	switch day := now.Unix() / 86400; {
	case day == p.Day+1:
		p.Day, p.Yesterday, p.Today = day, p.Today, [ProfileSteps]float32{}
	case day > p.Day:
		*p = profile{Day: day}
	}
	p.Today[profileStep(now)] = max(p.Today[profileStep(now)], float32(rate))
}

func (p *profile) yesterday() [ProfileSteps]float64 {
	var out [ProfileSteps]float64
	for i, r := range p.Yesterday {
		out[i] = float64(r)
	}
	return out
}

// profiles reads and writes the profiles of the services in the store. Only the holder of the duty writes them; the
// write of a former holder fails on the object's version.
type profiles struct {
	store objstore.Store
	rows  map[string]*profileRow
}

type profileRow struct {
	profile
	version     uint64
	writtenStep int // profile step of the last write; -1: not written yet
}

func profileKey(service string) string { return "pool/profile/" + service }

// get returns the profile of a service. The first call for a service reads it from the store.
func (p *profiles) get(ctx context.Context, service string) (*profileRow, error) {
	if row := p.rows[service]; row != nil {
		return row, nil
	}
	row := &profileRow{writtenStep: -1}
	object, err := p.store.Get(ctx, profileKey(service))
	if err != nil && !errors.Is(err, objstore.ErrNotFound) {
		return nil, fmt.Errorf("read profile of %s: %w", service, err)
	}
	if err == nil {
		row.version = object.Version
		if err := cbor.Unmarshal(object.Value, &row.profile); err != nil {
			return nil, fmt.Errorf("decode profile of %s: %w", service, err)
		}
	}
	p.rows[service] = row
	return row, nil
}

// observe adds the rate of a service and writes its profile once in each step. When the write fails, it returns the
// profile and the error, and the next call reads the profile again, since another instance may have written it.
func (p *profiles) observe(ctx context.Context, now time.Time, service string, rate float64) (*profileRow, error) {
	row, err := p.get(ctx, service)
	if err != nil {
		return nil, err
	}
	row.observe(now, rate)
	if row.writtenStep == profileStep(now) {
		return row, nil
	}
	value, err := cbor.Marshal(row.profile)
	if err != nil {
		return row, err
	}
	version, err := p.store.Put(ctx, profileKey(service), value, row.version)
	if err != nil {
		delete(p.rows, service)
		return row, fmt.Errorf("write profile of %s: %w", service, err)
	}
	row.version, row.writtenStep = version, profileStep(now)
	return row, nil
}
