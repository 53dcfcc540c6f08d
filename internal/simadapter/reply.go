package simadapter

import (
	"encoding/binary"
	"io"
)

// Codes of actions. The comments give the format's names.
const (
	actionSendPeerMessage = 1  // Notify
	actionFetchList       = 2  // ReadList
	actionCancelAttempt   = 3  // CallOff
	actionLog             = 4  // Debug
	actionAbort           = 5  // Die
	actionProbe           = 6  // Check
	actionMigrate         = 7  // Move
	actionReject          = 8  // TurnAway
	actionSetTimer        = 9  // WakeAt
	actionStartAttempt    = 10 // Assign
	actionFail            = 11 // EndFailed
	actionSelectInstance  = 12 // Source
	actionCloseIdle       = 13 // Disconnect
	actionWatch           = 14 // Listen
)

// reply collects the actions that answer one batch.
type reply struct {
	records []byte // of actionSize
	tail    []byte // data that records refer to by offset and length
	count   uint32 // of records
}

// reset empties the reply and keeps its memory for reuse.
func (out *reply) reset() { out.records, out.tail, out.count = out.records[:0], out.tail[:0], 0 }

// add appends a record with the given code and returns it, so that the caller sets its other fields.
func (out *reply) add(code byte) record {
	from := len(out.records)
	out.records = append(out.records, make([]byte, actionSize)...)
	out.records[from] = code
	out.count++
	return out.records[from:]
}

func (r record) put32(at int, v uint32) { binary.LittleEndian.PutUint32(r[at:], v) }
func (r record) put64(at int, v uint64) { binary.LittleEndian.PutUint64(r[at:], v) }

// putBytes appends data to the tail and writes its offset and length to the record at the given offset.
func (out *reply) putBytes(r record, at int, data string) {
	r.put32(at, uint32(len(out.tail)))
	r.put32(at+4, uint32(len(data)))
	out.tail = append(out.tail, data...)
}

// selectInstance selects the instance to which the following actions belong.
func (out *reply) selectInstance(instance uint32) { out.add(actionSelectInstance).put32(1, instance) }

// startAttempt starts the next attempt of a request with a timeout in microseconds.
func (out *reply) startAttempt(request uint64, replica uint32, timeout int32) {
	r := out.add(actionStartAttempt)
	r.put64(1, request)
	r.put32(9, replica)
	r.put32(13, uint32(timeout))
}

// rejectRequest rejects a request. Its client may retry after retryAfter microseconds.
func (out *reply) rejectRequest(request uint64, retryAfter uint32) {
	r := out.add(actionReject)
	r.put64(1, request)
	r.put32(9, retryAfter)
}

// failRequest ends a request with an error that leaves open whether it has run.
func (out *reply) failRequest(request uint64) { out.add(actionFail).put64(1, request) }

// cancelAttempt cancels an attempt. Its eventAttemptFinished still follows.
func (out *reply) cancelAttempt(request uint64, attempt uint8) {
	r := out.add(actionCancelAttempt)
	r.put64(1, request)
	r[9] = attempt
}

// probe sends a health check to a replica.
func (out *reply) probe(replica uint32) { out.add(actionProbe).put32(1, replica) }

// closeIdle closes idle connections to a replica.
func (out *reply) closeIdle(replica uint32) { out.add(actionCloseIdle).put32(1, replica) }

// setWatch subscribes to changes of the list, or ends the subscription.
func (out *reply) setWatch(subscribed bool) {
	r := out.add(actionWatch)
	if subscribed {
		r[1] = 1
	}
}

// fetchList requests the full list once, without a subscription.
func (out *reply) fetchList() { out.add(actionFetchList) }

// sendPeerMessage sends bytes to another instance.
func (out *reply) sendPeerMessage(peer uint32, message string) {
	r := out.add(actionSendPeerMessage)
	r.put32(1, peer)
	out.putBytes(r, 5, message)
}

// migrate ends a running stream, so that its client resumes it at another replica.
func (out *reply) migrate(request uint64) { out.add(actionMigrate).put64(1, request) }

// setTimer requests an eventTimer with the token, after a delay in microseconds.
func (out *reply) setTimer(delay uint32, token uint64) {
	r := out.add(actionSetTimer)
	r.put32(1, delay)
	r.put64(5, token)
}

// log adds a line to the simulator's report.
func (out *reply) log(line string) { out.putBytes(out.add(actionLog), 1, line) }

// abort ends the simulation as a failure of the decision module.
func (out *reply) abort(reason string) { out.putBytes(out.add(actionAbort), 1, reason) }

// writeTo writes the encoded reply to the batch with the given number.
func (out *reply) writeTo(w io.Writer, number uint32) error {
	var head [replyHeaderSize]byte
	h := record(head[:])
	h.put32(0, number)
	h.put32(4, uint32(len(out.records)+len(out.tail)))
	h.put32(8, out.count)
	for _, part := range [][]byte{head[:], out.records, out.tail} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}
