// Package channel is the codec of multiplexed channels: the binary packets of SSH (RFC 4253, sections 4.2 and 6)
// without encryption, MAC and compression, and the messages of the SSH connection protocol (RFC 4254) that
// docs/protocol/channels.md describes. It parses in place: the slices that it returns point into the caller's buffer.
// It uses no sockets, keeps no state, and makes no decisions.
package channel

import (
	"bytes"
	"encoding/binary"
	"errors"
)

// Limits of RFC 4253, and sizes of fields, in bytes.
const (
	MaxIdent       = 255    // an identification line, with its end
	MaxPacket      = 35_000 // a whole packet, including its length and padding
	minPacketSize  = 16
	blockSize      = 8
	minPadding     = 4
	lengthSize     = 4
	headerSize     = lengthSize + 1 // length and padding length
	dataFieldsSize = 9              // type, channel and data length of a DATA packet
)

// Prefix begins an identification line. A first line with any other beginning comes from a client of the line protocol.
const Prefix = "SSH-"

// Protocol errors of a peer. Each ends the connection. The texts are sent to the peer, and so are part of the protocol.
var (
	ErrIdent        = errors.New("identification is not SSH-2.0")
	ErrLength       = errors.New("packet length is not one that may be")
	ErrPad          = errors.New("padding is wrong")
	ErrTruncated    = errors.New("message is cut off")
	ErrTrailingData = errors.New("message has bytes behind its end")
)

// SplitIdentification returns a peer's identification line at the start of buf, without its line end, which is CR LF or
// LF (RFC 4253, section 4.2). n is the line's length with its end; 0 means that buf does not hold the whole line yet.
// The error is ErrIdent.
func SplitIdentification(buf []byte) (text []byte, n int, err error) {
	end := bytes.IndexByte(buf[:min(len(buf), MaxIdent)], '\n')
	if end < 0 {
		if len(buf) >= MaxIdent {
			return nil, 0, ErrIdent
		}
		return nil, 0, nil
	}
	text = bytes.TrimSuffix(buf[:end], []byte("\r"))
	// 9 characters are "SSH-2.0-" and a software version of at least one character.
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

// PacketSize returns the length of the whole packet at the start of buf as its header states it; 0 if buf does not hold
// that field completely yet.
func PacketSize(buf []byte) int {
	if len(buf) < lengthSize {
		return 0
	}
	return lengthSize + int(binary.BigEndian.Uint32(buf))
}

// SplitPacket returns the payload of the packet at the start of buf. n is the length of the whole packet; 0 means that
// buf does not hold it completely yet. The error is ErrLength or ErrPad.
func SplitPacket(buf []byte) (payload []byte, n int, err error) {
	if len(buf) < lengthSize {
		return nil, 0, nil
	}
	length := binary.BigEndian.Uint32(buf)
	// Check the length first, so that the peer's error is found without waiting for the rest of the packet.
	if length < minPacketSize-lengthSize || length > MaxPacket-lengthSize || (length+lengthSize)%blockSize != 0 {
		return nil, 0, ErrLength
	}
	if len(buf) < headerSize {
		return nil, 0, nil
	}
	pad := uint32(buf[lengthSize])
	if pad < minPadding || pad+1 >= length {
		return nil, 0, ErrPad
	}
	n = int(length) + lengthSize
	if len(buf) < n {
		return nil, 0, nil
	}
	return buf[headerSize : n-int(pad)], n, nil
}

// BeginPacket appends an empty packet header to dst. It returns the extended slice and the offset at which the packet
// starts. The caller appends the payload, then calls EndPacket with that offset.
func BeginPacket(dst []byte) (out []byte, start int) {
	return append(dst, 0, 0, 0, 0, 0), len(dst)
}

// EndPacket completes the packet that starts at offset start: it appends the padding and fills in the header.
func EndPacket(dst []byte, start int) []byte {
	size := len(dst) - start
	pad := padding(size)
	dst = append(dst, zeroPadding[:pad]...)
	putHeader(dst[start:], size, pad)
	return dst
}

// padding returns the number of padding bytes after a packet whose header and payload have size bytes together. It is
// at least minPadding, and makes the length of the whole packet a multiple of blockSize and at least minPacketSize.
func padding(size int) int {
	pad := blockSize - size%blockSize
	if pad < minPadding {
		pad += blockSize
	}
	if size+pad < minPacketSize {
		pad += blockSize
	}
	return pad
}

// putHeader writes the header of a packet with pad bytes of padding, whose header and payload have size bytes together.
func putHeader(header []byte, size, pad int) {
	binary.BigEndian.PutUint32(header, uint32(size+pad-lengthSize))
	header[lengthSize] = byte(pad)
}

// MaxData is the maximum length of the data in one sent packet, in bytes. Every peer must accept that much (RFC 4253,
// section 6.1).
const MaxData = 32 << 10

// DataHeader holds the part of a DATA packet before the data.
type DataHeader [headerSize + dataFieldsSize]byte

// PutDataHeader writes the header of a DATA packet with n bytes of data, and returns the padding that follows the data.
// A caller writes header, data and padding one after another, without copying the data into a packet.
func PutDataHeader(header *DataHeader, id uint32, n int) (pad []byte) {
	size := len(header) + n
	padded := padding(size)
	putHeader(header[:], size, padded)
	header[headerSize] = byte(Data)
	binary.BigEndian.PutUint32(header[headerSize+1:], id)
	binary.BigEndian.PutUint32(header[headerSize+5:], uint32(n))
	return zeroPadding[:padded]
}

// zeroPadding is the padding of all packets. It is never modified.
var zeroPadding [minPacketSize + blockSize]byte
