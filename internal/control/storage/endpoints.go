package storage

import (
	"fmt"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/util"

	"notchhinge/internal/control/endpoints"
)

// EndpointChanges are changes of the stored records of endpoints.
type EndpointChanges struct {
	Put    []endpoints.Record // replace earlier records of the same endpoints
	Delete []string           // ids of endpoints
}

// UpdateEndpoints writes changes of endpoint records in one batch. The batch is synced if it has records to put; a lost deletion leaves
// an obsolete record, which its reader removes again.
func (s *Store) UpdateEndpoints(changes EndpointChanges) error {
	if s.db == nil {
		return fmt.Errorf("update endpoints: %w", errClosed)
	}
	batch := new(leveldb.Batch)
	for i := range changes.Put {
		batch.Put(endpointKey(changes.Put[i].ID), changes.Put[i].Encode())
	}
	for _, id := range changes.Delete {
		batch.Delete(endpointKey(id))
	}
	if err := s.db.Write(batch, &opt.WriteOptions{Sync: len(changes.Put) > 0}); err != nil {
		return fmt.Errorf("update endpoints: %w", err)
	}
	return nil
}

func endpointKey(id string) []byte { return append(append([]byte{}, endpointPrefix...), id...) }

// readEndpoints reads the records of endpoints, ordered by id.
func (s *Store) readEndpoints() (records []endpoints.Record, err error) {
	it := s.db.NewIterator(util.BytesPrefix(endpointPrefix), nil)
	defer it.Release()
	for it.Next() {
		r, err := endpoints.Decode(append([]byte{}, it.Value()...))
		if err != nil {
			return nil, fmt.Errorf("endpoint %q: %w", it.Key()[len(endpointPrefix):], err)
		}
		records = append(records, r)
	}
	return records, it.Error()
}
