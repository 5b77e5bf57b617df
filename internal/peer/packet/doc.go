// Package packet is the codec of the datagrams between the members of a fleet: their encoding, their seal, and the
// window that finds replayed ones. It knows no sockets and no clock, and must not know what a message is for: package
// membership and package zonedirectory decide that.
//
// A sender encodes a message with Encode or EncodeDirectory and seals it with a Keyring. A receiver opens the seal,
// decodes the content, and asks the sender's ReplayWindow whether the datagram is new. Both encodings begin with the
// envelope. All numbers are big-endian; uv is a varint as encoding/binary has it:
//
//	1         version: 2 where the sender is in a zone, 1 in a fleet without zones
//	1         kind: those of membership.Message, Hello, and after it those of zonedirectory.Message
//	8  8      instance of the receiver that this is for (0: not known), the sender's count of datagrams
//	8 uv 8    sender, its incarnation (not with the kinds of zonedirectory), its instance
//	addr      where the sender is reached: 1 byte of length (0, 4 or 16), as many, and 2 of port where that is not 0
//	8  8      with version 2 only: the sender's zone, and the digest of all items of its directory
//
// A membership.Message goes on with:
//
//	1 uv      what the sender considers the receiver to be, and under which incarnation
//	4 8 4 1   sequence, target, pings received, flags
//	8         digest of the sender's view
//	1 + 4n    sums of buckets
//	1 + n     updates: 1 state and flags, 8 id, uv incarnation; 8 reporter where there is one; with a description:
//	          8 instance, addr, 1 + n name
//
// A zonedirectory.Message goes on with:
//
//	4 1 8    sequence, flags, digest of the sender's items that go to all zones
//	1 + n    versions: 8 key, uv version, 4 checksum
//	1 + n    items, each beginning with a byte that says which kind it is:
//	         1: region, zone, uv version, 8 issuer, uv live, uv known, 1 + n contacts (8 id, addr),
//	            1 + 8n unreachable zones
//	         2: 8 zone, 8 delegate, uv version, 1 + 8n unreachable zones
//	         3: name, uv version, value
//
// where region, zone, name and value are 1 byte of length and as many. Nothing may follow, and each message has one
// encoding only.
package packet
