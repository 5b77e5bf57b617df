package zonedirectory

import (
	"cmp"
	"errors"
	"slices"

	"spurspread/decision/monotime"
)

// Why a record can't be published. Operators and scripts read these texts.
var (
	// ErrInvalidRecord is returned for a record whose name or value has another length than it may have.
	ErrInvalidRecord = errors.New("zone: a record's name has 1 to 32 bytes, its value at most 64")
	// ErrTooManyRecords is returned for a new record where there are MaxRecords.
	ErrTooManyRecords = errors.New("zone: there are as many records as there may be")
)

// Records lists all records by their names.
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

// Publish begins to spread a new value of a record. Errors are ErrInvalidRecord and ErrTooManyRecords.
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

// nextVersion decides the version of an item's next content: the time in milliseconds, or more where the item is held
// or was dropped under a greater version.
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
