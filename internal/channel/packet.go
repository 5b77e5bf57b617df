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
	MaxIdent   = 255    // an identification line, with its end
	MaxPacket  = 35_000 // a whole packet, with its length and padding
	minPacket  = 16
	block      = 8
	minPad     = 4
	lengthSize = 4
	headSize   = lengthSize + 1 // length and padding length
	dataFields = 9              // type, channel and length of a DATA packet
)

// Prefix begins an identification line. A first line that does not begin so is a plain client's.
const Prefix = "SSH-"

// Errors of what a peer sends. Each ends the connection.
var (
	ErrIdent        = errors.New("identification is not SSH-2.0")
	ErrLength       = errors.New("packet length is not one that may be")
	ErrPad          = errors.New("padding is wrong")
	ErrTruncated    = errors.New("message is cut off")
	ErrTrailingData = errors.New("message has bytes behind its end")
)

// SplitIdentification finds a peer's identification line. n is its length with its end, 0 while the end was not
// received. Both CR LF and a lone LF end it (RFC 4253, section 4.2). The error is ErrIdent.
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

// SplitPacket finds the first packet of buf. n is its whole length, 0 while it is incomplete. The error is ErrLength or
// ErrPad.
func SplitPacket(buf []byte) (payload []byte, n int, err error) {
	if len(buf) < lengthSize {
		return nil, 0, nil
	}
	length := binary.BigEndian.Uint32(buf)
	// Checked before the rest has come: nobody is to wait for a packet whose length is invalid.
	if length < minPacket-lengthSize || length > MaxPacket-lengthSize || (length+lengthSize)%block != 0 {
		return nil, 0, ErrLength
	}
	if len(buf) < headSize {
		return nil, 0, nil
	}
	pad := uint32(buf[lengthSize])
	if pad < minPad || pad+1 >= length {
		return nil, 0, ErrPad
	}
	n = int(length) + lengthSize
	if len(buf) < n {
		return nil, 0, nil
	}
	return buf[headSize : n-int(pad)], n, nil
}

// BeginPacket appends a packet's head to dst and returns it with the place of the head; End completes the packet.
func BeginPacket(dst []byte) (out []byte, at int) {
	return append(dst, 0, 0, 0, 0, 0), len(dst)
}

// EndPacket completes the packet that began at at.
func EndPacket(dst []byte, at int) []byte {
	size := len(dst) - at
	pad := padding(size)
	dst = append(dst, zeros[:pad]...)
	putHead(dst[at:], size, pad)
	return dst
}

// padding returns how many bytes of padding follow a packet of size bytes with its head: the whole is a multiple of
// block and at least minPacket, the padding at least minPad.
func padding(size int) int {
	pad := block - size%block
	if pad < minPad {
		pad += block
	}
	if size+pad < minPacket {
		pad += block
	}
	return pad
}

// putHead writes the head of a packet of size bytes, head included, and its padding.
func putHead(head []byte, size, pad int) {
	binary.BigEndian.PutUint32(head, uint32(size+pad-lengthSize))
	head[lengthSize] = byte(pad)
}

// MaxData is how many bytes of data one packet of ours carries at most: what every peer has to accept (RFC 4253,
// section 6.1).
const MaxData = 32 << 10

// DataHeader is what precedes the data of a DATA packet.
type DataHeader [headSize + dataFields]byte

// PutDataHeader writes the header of a DATA packet with n bytes of data, and returns the padding that follows the data.
// A caller writes header, data and padding one after another, without copying the data into a packet.
func PutDataHeader(head *DataHeader, id uint32, n int) (pad []byte) {
	size := len(head) + n
	padded := padding(size)
	putHead(head[:], size, padded)
	head[headSize] = byte(Data)
	binary.BigEndian.PutUint32(head[headSize+1:], id)
	binary.BigEndian.PutUint32(head[headSize+5:], uint32(n))
	return zeros[:padded]
}

// zeros is the padding of all packets, which nobody writes to.
var zeros [minPacket + block]byte
