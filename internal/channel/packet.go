// Package channel is the codec of multiplexed channels: SSH's binary packets (RFC 4253, sections 4.2 and 6) without
// cipher, MAC and compression, and the messages of its connection protocol (RFC 4254) that docs/protocol/channels.md
// uses. It reads in place: what it returns points into the caller's buffer. It knows no sockets, keeps no state of any
// channel, and decides nothing.
package channel

import (
	"bytes"
	"encoding/binary"
	"errors"
)

// Limits of RFC 4253.
const (
	MaxIdent  = 255    // an identification line, with its end
	MaxPacket = 35_000 // a whole packet, with its length and padding
	minPacket = 16
	block     = 8
	minPad    = 4
	headSize  = 5 // length and padding length
)

// Prefix begins an identification line. A first line that does not begin so is a plain client's.
const Prefix = "SSH-"

// What may be wrong with what a peer sends. Each ends the connection.
var (
	ErrIdent  = errors.New("identification is not SSH-2.0")
	ErrLength = errors.New("packet length is not one that may be")
	ErrPad    = errors.New("padding is wrong")
	ErrShort  = errors.New("message is cut off")
	ErrLong   = errors.New("message has bytes behind its end")
)

// SplitIdentification finds a peer's identification line. n is its length with its end, 0 while the end has not
// come. Both CR LF and a lone LF end it, as RFC 4253 asks.
func SplitIdentification(buf []byte) (text []byte, n int, err error) {
	end := bytes.IndexByte(buf[:min(len(buf), MaxIdent)], '\n')
	if end < 0 {
		if len(buf) >= MaxIdent {
			return nil, 0, ErrIdent
		}
		return nil, 0, nil
	}
	text = bytes.TrimSuffix(buf[:end], []byte("\r"))
	if !bytes.HasPrefix(text, []byte("SSH-2.0-")) && !bytes.HasPrefix(text, []byte("SSH-1.99-")) || len(text) < 9 {
		return nil, end + 1, ErrIdent
	}
	for _, c := range text {
		if c < ' ' || c > '~' {
			return nil, end + 1, ErrIdent
		}
	}
	return text, end + 1, nil
}

// SplitPacket finds the first packet of buf. n is its whole length, 0 while not all of it has come.
func SplitPacket(buf []byte) (payload []byte, n int, err error) {
	if len(buf) < 4 {
		return nil, 0, nil
	}
	length := binary.BigEndian.Uint32(buf)
	// Looked at before the rest has come: a length that may not be must not have anything wait for it.
	if length < minPacket-4 || length > MaxPacket-4 || (length+4)%block != 0 {
		return nil, 0, ErrLength
	}
	if len(buf) < 5 {
		return nil, 0, nil
	}
	pad := uint32(buf[4])
	if pad < minPad || pad+1 >= length {
		return nil, 0, ErrPad
	}
	n = int(length) + 4
	if len(buf) < n {
		return nil, 0, nil
	}
	return buf[headSize : n-int(pad)], n, nil
}

// Begin appends a packet's head to dst and returns it with the place of the head; End completes the packet.
func Begin(dst []byte) (out []byte, at int) {
	return append(dst, 0, 0, 0, 0, 0), len(dst)
}

// End completes the packet that began at at.
func End(dst []byte, at int) []byte {
	size := len(dst) - at
	pad := block - size%block
	if pad < minPad {
		pad += block
	}
	if size+pad < minPacket {
		pad += block
	}
	for range pad {
		dst = append(dst, 0)
	}
	binary.BigEndian.PutUint32(dst[at:], uint32(size+pad-4))
	dst[at+4] = byte(pad)
	return dst
}

// MaxData is how much data one packet of ours carries at most: what RFC 4253 asks every peer to take.
const MaxData = 32 << 10

// Head is what stands before the data of a DATA packet.
type Head [headSize + 9]byte

// DataHead fills the head of a DATA packet of n bytes of data, and returns the padding that goes behind them, to be
// written round the data without copying it.
func DataHead(head *Head, id uint32, n int) (pad []byte) {
	size := headSize + 9 + n
	p := block - size%block
	if p < minPad {
		p += block
	}
	binary.BigEndian.PutUint32(head[:], uint32(size+p-4))
	head[4] = byte(p)
	head[5] = byte(Data)
	binary.BigEndian.PutUint32(head[6:], id)
	binary.BigEndian.PutUint32(head[10:], uint32(n))
	return zeros[:p]
}

var zeros [2 * block]byte
