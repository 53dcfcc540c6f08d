package node

import (
	"errors"
	"time"

	"notchhinge/internal/control/replica"
	"notchhinge/internal/limits"
)

var errDiskUnavailable = errors.New("the disk does not take what is written")

// persist writes to the disk. After a write that failed the disk is opened anew, at most a few times a second, and all that
// stands here is written to it first: what was chosen meanwhile, and the vote. The lock is held.
func (k *replicaHost) persist(w *replica.Write) error {
	if k.diskClosed {
		return errDiskUnavailable
	}
	if k.diskFailed {
		if time.Since(k.reopenedAt) < limits.DiskReopenInterval {
			return errDiskUnavailable
		}
		k.reopenedAt = time.Now()
		state := k.reducer.State()
		err := k.disk.Reopen()
		if err == nil {
			err = k.disk.SaveSnapshot(&state)
		}
		if err == nil {
			err = k.disk.SaveAcceptor(k.reducer.AcceptorState())
		}
		if err != nil {
			k.log.Error("the disk is still not usable", "err", err)
			return errDiskUnavailable
		}
		k.diskFailed = false
		k.log.Info("the disk is usable again", "next_place", state.NextIndex)
	}
	var err error
	switch {
	case w.Snapshot:
		err = k.disk.SaveSnapshot(w.State)
	case w.Value != nil:
		err = k.disk.AppendChosen(w.Value, w.State)
	default:
		err = k.disk.SaveAcceptor(w.Acceptor)
	}
	if err != nil {
		k.diskFailed, k.reopenedAt = true, time.Now()
		k.log.Error("the disk refuses a write; this keeper has no vote until it is opened anew", "err", err)
		return errDiskUnavailable
	}
	return nil
}
