package zonedirectory

import (
	"cmp"
	"errors"
	"slices"

	"spurspread/decision/monotime"
)

// Errors returned by Publish. Operators and scripts read these texts.
var (
	// ErrInvalidRecord is returned for a record whose name or value has an invalid length.
	ErrInvalidRecord = errors.New("zone: a record's name has 1 to 32 bytes, its value at most 64")
	// ErrTooManyRecords is returned for a new record if there already are MaxRecords.
	ErrTooManyRecords = errors.New("zone: there are as many records as there may be")
)

// Records lists all records by name.
func (d *Directory) Records() []Record {
	var records []Record
	for _, key := range d.keys {
		if record := d.items[key].Record; record != nil {
			records = append(records, *record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return records
}

// Publish creates a record or updates its value, and starts its dissemination. It returns ErrInvalidRecord or
// ErrTooManyRecords if the record is not accepted.
func (d *Directory) Publish(now monotime.Micros, name, value string) (Record, error) {
	key := recordKey(name)
	record := Record{Name: name, Value: value, Version: d.nextVersion(now, key)}
	if !record.valid() {
		return Record{}, ErrInvalidRecord
	}
	if d.items[key] == nil && d.itemCounts[recordItem] >= MaxRecords {
		return Record{}, ErrTooManyRecords
	}
	d.store(now, newEntry(Item{Record: &record}))
	return record, nil
}

// nextVersion returns the version for an item's next content: the time in milliseconds, or more if the directory holds
// the item, or has dropped it, with that version or a greater one.
func (d *Directory) nextVersion(now monotime.Micros, key uint64) uint64 {
	version := uint64(max(now/monotime.Millisecond, 1))
	if e := d.items[key]; e != nil {
		version = max(version, e.version+1)
	}
	if dropped, found := d.tombstones[key]; found {
		version = max(version, dropped.version.Version+1)
	}
	return version
}
