package simwire

import (
	"encoding/binary"
	"fmt"
	"math"

	"spurspread/decision"
)

// Codes of action records. The comments give the simulator's own names.
const (
	actionWatchDiscovery  = 1000 // watch
	actionFetchServerList = 1010 // snapshot
	actionReject          = 1020 // reject
	actionMoveConnection  = 1030 // shift
	actionStartAttempt    = 1040 // issue
	actionProbeServer     = 1060 // touch
	actionFail            = 1070 // abort
	actionCancelAttempt   = 1090 // recall
	actionSelectInstance  = 1120 // speaking
	actionSetTimer        = 1130 // remind
)

// Reply encodes the actions that answer one batch. It reuses its buffer.
type Reply struct {
	buf   []byte
	count uint32 // number of records
}

// Begin starts the reply to the batch with the given sequence number.
func (r *Reply) Begin(sequence uint32) {
	r.buf = append(r.buf[:0], make([]byte, replyHeader)...)
	r.count = 0
	binary.LittleEndian.PutUint32(r.buf, sequence)
}

// Bytes returns the complete frame, which is valid until the next call of Begin.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf[4:], uint32(len(r.buf)-replyHeader+minReplyLength))
	binary.LittleEndian.PutUint32(r.buf[8:], r.count)
	return r.buf
}

// Add appends the actions of one instance; without actions it appends nothing. After an error, which wraps
// ErrUnknownAction, the reply must not be sent.
func (r *Reply) Add(instance uint16, actions []decision.Action) error {
	if len(actions) == 0 {
		return nil
	}
	selected := r.newRecord(actionSelectInstance)
	selected.uint16(instance)
	for _, action := range actions {
		if err := r.add(action); err != nil {
			return err
		}
	}
	return nil
}

func (r *Reply) add(action decision.Action) error {
	switch a := action.(type) {
	case decision.WatchDiscovery:
		record := r.newRecord(actionWatchDiscovery)
		record.bool(a.On)
	case decision.FetchServerList:
		r.newRecord(actionFetchServerList)
	case decision.StartAttempt:
		record := r.newRecord(actionStartAttempt)
		record.uint32(a.ID)
		record.micros(a.Timeout)
		record.uint32(a.Server)
	case decision.Reject:
		record := r.newRecord(actionReject)
		record.uint32(a.ID)
		record.micros(a.RetryAfter)
	case decision.Fail:
		record := r.newRecord(actionFail)
		record.uint32(a.ID)
	case decision.CancelAttempt:
		record := r.newRecord(actionCancelAttempt)
		record.uint32(a.ID)
		record.uint8(uint8(a.Attempt))
	case decision.MoveConnection:
		record := r.newRecord(actionMoveConnection)
		record.uint32(a.ID)
	case decision.ProbeServer:
		record := r.newRecord(actionProbeServer)
		record.uint32(a.Server)
	case decision.SetTimer:
		record := r.newRecord(actionSetTimer)
		record.micros(a.Delay)
		record.uint64(uint64(a.Token))
	default:
		return fmt.Errorf("%w: %T", ErrUnknownAction, action)
	}
	return nil
}

// recordWriter writes the fields of one action record one after another; the bytes after them stay zero.
type recordWriter struct{ rest []byte }

func (r *Reply) newRecord(code uint16) recordWriter {
	start := len(r.buf)
	r.buf = append(r.buf, make([]byte, actionSize)...)
	r.count++
	record := recordWriter{r.buf[start:]}
	record.uint16(code)
	return record
}

func (w *recordWriter) uint8(v uint8) {
	w.rest[0] = v
	w.rest = w.rest[1:]
}

func (w *recordWriter) bool(v bool) {
	if v {
		w.uint8(1)
	} else {
		w.uint8(0)
	}
}

func (w *recordWriter) uint16(v uint16) {
	binary.LittleEndian.PutUint16(w.rest, v)
	w.rest = w.rest[2:]
}

func (w *recordWriter) uint32(v uint32) {
	binary.LittleEndian.PutUint32(w.rest, v)
	w.rest = w.rest[4:]
}

func (w *recordWriter) uint64(v uint64) {
	binary.LittleEndian.PutUint64(w.rest, v)
	w.rest = w.rest[8:]
}

// micros writes a duration, limited to the range of 32 bits: 0 to about 71 minutes.
func (w *recordWriter) micros(v decision.Micros) {
	w.uint32(uint32(min(max(v, 0), math.MaxUint32)))
}
