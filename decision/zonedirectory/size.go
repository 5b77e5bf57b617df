package zonedirectory

// About how many bytes messages and their parts have in a sealed datagram.
const (
	messageOverheadBytes = 116
	versionBytes         = 19
	summaryBytes         = 32 // without names, zones and contacts
	observationBytes     = 26 // without zones
	recordBytes          = 12 // without name and value
	zoneIDBytes          = 8
	contactBytes         = 11 // without the address
	bitsPerByte          = 8

	// maxItemBytes bounds the items of one message.
	maxItemBytes = 1000
)

// size is about how long an item is.
func (item *Item) size() int {
	switch {
	case item.Summary != nil:
		return item.Summary.size()
	case item.Observation != nil:
		return observationBytes + zoneIDBytes*len(item.Observation.Unreachable)
	case item.Record != nil:
		return recordBytes + len(item.Record.Name) + len(item.Record.Value)
	}
	return 0
}

func (s *Summary) size() int {
	bytes := summaryBytes + len(s.Site.Region) + len(s.Site.Zone) + zoneIDBytes*len(s.Unreachable)
	for _, contact := range s.Contacts {
		bytes += contactBytes + contact.Addr.Addr().BitLen()/bitsPerByte
	}
	return bytes
}

// ApproximateSize is about how long a message's datagram is, sealed, in bytes.
func ApproximateSize(m *Message) int {
	bytes := messageOverheadBytes + versionBytes*len(m.Versions)
	for i := range m.Items {
		bytes += m.Items[i].size()
	}
	return bytes
}

// countFitting decides how many of the first entries go into one message: one at least, where there is any.
func countFitting(entries []*entry) int {
	bytes := maxItemBytes
	limit := min(len(entries), MaxItems)
	for i := range limit {
		bytes -= entries[i].size()
		if bytes < 0 && i > 0 {
			return i
		}
	}
	return limit
}

func itemsOf(entries []*entry) []Item {
	items := make([]Item, len(entries))
	for i, e := range entries {
		items[i] = e.Item
	}
	return items
}
