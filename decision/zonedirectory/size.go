package zonedirectory

// Approximate sizes of messages and their parts in a sealed datagram, in bytes.
const (
	messageOverheadBytes = 116
	versionBytes         = 19
	summaryBytes         = 32 // plus names, zones and contacts
	observationBytes     = 26 // plus zones
	recordBytes          = 12 // plus name and value
	zoneIDBytes          = 8
	contactBytes         = 11 // plus the address
	bitsPerByte          = 8

	// maxItemBytes bounds the size of the items in one message.
	maxItemBytes = 1000
)

// size returns the approximate size of an item in bytes.
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

// ApproximateSize returns the approximate size of a message's sealed datagram in bytes.
func ApproximateSize(m *Message) int {
	bytes := messageOverheadBytes + versionBytes*len(m.Versions)
	for i := range m.Items {
		bytes += m.Items[i].size()
	}
	return bytes
}

// countFitting returns the number of leading entries that fit into one message, at least one if there is any.
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
