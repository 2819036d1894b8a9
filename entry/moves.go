package entry

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/move"
	"github.com/trefoillug/trefoillug/objstore"
)

func moveKey(o move.Object) string { return config.MoveOutcomeKey(o.Service, o.Move) }

// recordMove creates the outcome object of a move unless it exists, and posts the stored record to the core. After a
// failure the core proposes the outcome again.
func (d *Daemon) recordMove(rec move.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	log := d.log.WithField("service", rec.Service).WithField("move", rec.Move)
	value, err := cbor.Marshal(rec)
	if err != nil {
		log.WithError(err).Error("could not encode the outcome of a move")
		return
	}
	object := move.Object{Service: rec.Service, Move: rec.Move}
	_, err = d.store.Put(ctx, moveKey(object), value, 0)
	switch {
	case err == nil:
		log.WithField("outcome", rec.Outcome).WithField("reason", rec.Reason).Info("outcome of a move recorded")
		d.runner.Post(core.MoveRead{Object: object, Record: &rec})
	case errors.Is(err, objstore.ErrConflict), errors.Is(err, objstore.ErrUnknownResult):
		d.readMove(object)
	default:
		log.WithError(err).Warn("outcome of a move not recorded; the core will propose it again")
	}
}

// readMove posts the stored outcome of a move to the core. If the read fails, the core asks again.
func (d *Daemon) readMove(o move.Object) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	object, err := d.store.Get(ctx, moveKey(o))
	if errors.Is(err, objstore.ErrNotFound) {
		d.runner.Post(core.MoveRead{Object: o})
		return
	}
	if err != nil {
		d.log.WithError(err).WithField("move", o.Move).Debug("outcome of a move not read")
		return
	}
	var rec move.Record
	if err := cbor.Unmarshal(object.Value, &rec); err != nil {
		d.log.WithError(err).WithField("move", o.Move).Error("could not decode the outcome of a move")
		return
	}
	d.runner.Post(core.MoveRead{Object: o, Record: &rec})
}
