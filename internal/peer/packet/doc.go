// Package packet encodes, encrypts and decodes the datagrams between the members of a fleet, and detects replayed ones.
// It uses no sockets and no clock, and does not interpret messages: packages membership and zonedirectory do that.
//
// A sender encodes a message with Encode or EncodeDirectory and encrypts it with Keyring.Seal. A receiver decrypts the
// datagram with Keyring.Open, decodes its content with Decode, and checks with the sender's ReplayWindow that it is
// new.
//
// In the tables below a number is the size of a field in bytes. All integers are big-endian; uv is an unsigned varint
// of encoding/binary. Both encodings begin with the envelope:
//
//	1         version: 2 if the sender is in a zone, 1 in a fleet without zones
//	1         kind: the kinds of membership.Message, then Hello, then the kinds of zonedirectory.Message
//	8  8      instance of the receiver (0: unknown), number of this datagram among those of the sender's process
//	8 uv 8    sender ID, its incarnation (not with a zonedirectory.Message), its instance
//	addr      address of the sender: 1 length of the IP address (0, 4 or 16), the IP address, 2 port (none if the
//	          length is 0)
//	8  8      with version 2 only: zone of the sender, digest of all items of its directory
//
// In a membership.Message it is followed by:
//
//	1 uv      state of the receiver in the sender's view, and the receiver's incarnation there
//	4 8 4 1   sequence number, target, pings received, flags
//	8         digest of the sender's view
//	1 + 4n    bucket sums, after their number
//	1 + n     updates, after their number: 1 state and flags, 8 ID, uv incarnation; 8 reporter if flagged; if a
//	          description is flagged: 8 instance, addr, 1 + n name
//
// In a zonedirectory.Message it is followed by:
//
//	4 1 8    sequence number, flags, digest of the sender's items that are sent to all zones
//	1 + n    versions, after their number: 8 key, uv version, 4 checksum
//	1 + n    items, after their number; each begins with 1 byte for its kind:
//	         1: region, zone, uv version, 8 issuer, uv live, uv known, 1 + n contacts (8 ID, addr),
//	            1 + 8n unreachable zones
//	         2: 8 zone, 8 delegate, uv version, 1 + 8n unreachable zones
//	         3: name, uv version, value
//
// Region, zone, name and value are 1 byte of length and that many bytes. No bytes may follow the message, and each
// message has exactly one valid encoding.
package packet
