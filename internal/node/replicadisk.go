package node

import (
	"errors"
	"time"

	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/storage"
	"notchhinge/internal/limits"
)

var errDiskUnavailable = errors.New("storage does not take writes")

// persist carries out a write of the replica. h.mu is held. After an error the write may or may not be on the disk, and the
// replica does not vote until a write succeeds.
func (h *replicaHost) persist(w *replica.Write) error {
	return h.withDisk(func() error { return h.write(w) })
}

// updateEndpoints writes changes of the stored endpoint records, once h.mu is free.
func (h *replicaHost) updateEndpoints(changes storage.EndpointChanges) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.withDisk(func() error { return h.disk.UpdateEndpoints(changes) })
}

// withDisk carries out a write, after reopening the disk if the previous write has failed. h.mu is held.
func (h *replicaHost) withDisk(write func() error) error {
	if h.diskClosed {
		return errDiskUnavailable
	}
	if h.diskFailed && !h.reopenDisk() {
		return errDiskUnavailable
	}
	if err := write(); err != nil {
		h.diskFailed, h.reopenedAt = true, time.Now()
		h.log.Error("storage write failed; replica abstains until it is reopened", "err", err)
		return errDiskUnavailable
	}
	return nil
}

// reopenDisk reopens a failed disk, at most once in limits.DiskReopenInterval, and saves the current state and acceptor
// state on it. It reports whether the disk can be used again.
func (h *replicaHost) reopenDisk() bool {
	if time.Since(h.reopenedAt) < limits.DiskReopenInterval {
		return false
	}
	h.reopenedAt = time.Now()
	state := h.reducer.State()
	err := h.disk.Reopen()
	if err == nil {
		err = h.disk.SaveSnapshot(&state)
	}
	if err == nil {
		err = h.disk.SaveAcceptor(h.reducer.AcceptorState())
	}
	if err != nil {
		h.log.Error("storage reopen failed", "err", err)
		return false
	}
	h.diskFailed = false
	h.log.Info("storage reopened", "next_index", state.NextIndex)
	return true
}

// write carries out a write on an open disk.
func (h *replicaHost) write(w *replica.Write) error {
	switch {
	case w.Snapshot:
		return h.disk.SaveSnapshot(w.State)
	case w.Value != nil:
		return h.disk.AppendChosen(w.Value, w.State)
	default:
		return h.disk.SaveAcceptor(w.Acceptor)
	}
}
