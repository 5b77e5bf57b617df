package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"spurspread/decision"
)

// Sizes in bytes.
const (
	headerSize  = 20 // of a batch: sequence, length, count, clock
	eventSize   = 40 // of an event record
	actionSize  = 16 // of an action record
	entrySize   = 22 // of a server list entry
	replyHeader = 12 // sequence, length, count

	minBatchLength = 12 // header bytes that a batch's length field includes: count and clock
	minReplyLength = 4  // header bytes that a reply's length field includes: count

	maxFrame = 1 << 28 // largest allowed value of a batch's length field
	readStep = 1 << 20 // buffer growth per read, so that a false length does not allocate maxFrame bytes
)

// Batch is one frame of event records.
type Batch struct {
	Sequence uint32
	Count    int             // number of records
	Now      decision.Micros // the simulation's clock
	records  []byte
	tail     []byte
}

// Reader reads batches from a stream. It reuses its buffer: a batch is valid until the next one is read.
type Reader struct {
	source io.Reader
	buf    []byte
}

// NewReader returns a Reader that reads from source.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Next reads one batch. It returns io.EOF if the stream ends between two batches, an error that wraps
// io.ErrUnexpectedEOF if it ends within one, and ErrMalformedFrame for a header with impossible values.
func (r *Reader) Next() (Batch, error) {
	var header [headerSize]byte
	n, err := io.ReadFull(r.source, header[:])
	if errors.Is(err, io.EOF) {
		return Batch{}, io.EOF
	}
	if err != nil {
		return Batch{}, fmt.Errorf("header cut short after %d of %d bytes: %w", n, headerSize, err)
	}
	b, size, err := parseHeader(header[:])
	if err != nil {
		return Batch{}, err
	}
	if err := r.fill(size); err != nil {
		return Batch{}, fmt.Errorf("batch %d: frame cut short: %w", b.Sequence, err)
	}
	b.records = r.buf[:b.Count*eventSize]
	b.tail = r.buf[b.Count*eventSize:]
	return b, nil
}

// parseHeader reads a batch's header; size is the number of bytes that follow it.
func parseHeader(header []byte) (b Batch, size int, err error) {
	f := fields{bytes: header}
	b.Sequence = f.uint32()
	length := int(f.uint32())
	b.Count = int(f.uint32())
	b.Now = decision.Micros(f.uint64())
	if length < minBatchLength || length > maxFrame {
		return b, 0, fmt.Errorf("%w: batch %d: length %d is not in the range %d to %d",
			ErrMalformedFrame, b.Sequence, length, minBatchLength, maxFrame)
	}
	if b.Now < 0 {
		return b, 0, fmt.Errorf("%w: batch %d: clock %d is out of range",
			ErrMalformedFrame, b.Sequence, uint64(b.Now))
	}
	size = length - minBatchLength
	if b.Count > size/eventSize {
		return b, 0, fmt.Errorf("%w: batch %d: %d records of %d bytes do not fit in %d bytes",
			ErrMalformedFrame, b.Sequence, b.Count, eventSize, size)
	}
	return b, size, nil
}

// fill reads size bytes into the buffer, which grows only as they arrive.
func (r *Reader) fill(size int) error {
	r.buf = r.buf[:0]
	for len(r.buf) < size {
		have := len(r.buf)
		r.grow(min(size-have, readStep))
		n, err := io.ReadFull(r.source, r.buf[have:])
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return fmt.Errorf("%d of %d bytes: %w", have+n, size, err)
		}
	}
	return nil
}

// grow extends the buffer by n bytes. If it must reallocate, it at least doubles the capacity.
func (r *Reader) grow(n int) {
	have := len(r.buf)
	if cap(r.buf) < have+n {
		grown := make([]byte, have, max(2*cap(r.buf), have+n))
		copy(grown, r.buf)
		r.buf = grown
	}
	r.buf = r.buf[:have+n]
}

// tailItems returns the items of the tail that reference selects; each is size bytes long.
func (b Batch) tailItems(reference reference, size int) ([]byte, error) {
	start := uint64(reference.offset)
	end := start + uint64(reference.count)*uint64(size)
	if end > uint64(len(b.tail)) {
		return nil, fmt.Errorf("%w: %d items of %d bytes at offset %d exceed the tail of %d bytes",
			ErrMalformedRecord, reference.count, size, start, len(b.tail))
	}
	return b.tail[start:end], nil
}

// fields reads the fields of a header or record one after another. Reading past the end panics.
type fields struct {
	bytes  []byte
	offset int
}

func (f *fields) next(n int) []byte {
	field := f.bytes[f.offset : f.offset+n]
	f.offset += n
	return field
}

func (f *fields) uint8() uint8            { return f.next(1)[0] }
func (f *fields) uint16() uint16          { return binary.LittleEndian.Uint16(f.next(2)) }
func (f *fields) uint32() uint32          { return binary.LittleEndian.Uint32(f.next(4)) }
func (f *fields) uint64() uint64          { return binary.LittleEndian.Uint64(f.next(8)) }
func (f *fields) float32() float32        { return math.Float32frombits(f.uint32()) }
func (f *fields) micros() decision.Micros { return decision.Micros(f.uint32()) }

// reference selects items in the tail: the offset in bytes, and the number of items.
type reference struct{ offset, count uint32 }

func (f *fields) reference() reference {
	offset := f.uint32()
	return reference{offset: offset, count: f.uint32()}
}

// checkPadding checks that all bytes after the fields that were read are zero.
func (f *fields) checkPadding() error {
	for i := f.offset; i < len(f.bytes); i++ {
		if f.bytes[i] != 0 {
			return fmt.Errorf("%w: padding byte %d is not zero", ErrMalformedRecord, i)
		}
	}
	return nil
}
