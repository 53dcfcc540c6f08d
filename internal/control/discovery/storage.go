package discovery

import (
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
)

// restoreRecords adds the records of draining and deregistered endpoints that this replica stored before its restart, and disseminates
// them: the other processes may have been restarted at the same time.
func (n *Node) restoreRecords(records []endpoints.Record) {
	var items []gossip.Item
	for i := range records {
		r := &records[i]
		n.storedRecords[r.ID] = true
		n.idByHash[gossip.Hash(r.ID)] = r.ID
		n.Endpoints.Restore(n.now, *r, n.wallMS)
		items = append(items, endpointItem(r))
	}
	n.endpointsChanged = len(records) > 0
	n.gossipEvents = append(n.gossipEvents, gossip.Broadcast{Items: items})
}

// storeItems requests storage of the records that another process, or this one, wants to be durable. It stores the state of the
// registry, which may be newer. An item that the registry did not accept is not stored.
func (n *Node) storeItems(e gossip.StoreItems) {
	var records []endpoints.Record
	for i := range e.Items {
		r, err := endpoints.Decode(e.Items[i].Body)
		known := n.Endpoints.Find(r.ID)
		if err != nil || known == nil || known.State < r.State {
			n.gossipEvents = append(n.gossipEvents, gossip.ItemsStored{ID: e.ID})
			return
		}
		records = append(records, known.Record)
	}
	for i := range records {
		n.storedRecords[records[i].ID] = true
	}
	n.effects = append(n.effects, StoreRecords{ID: e.ID, Records: records})
}

// forgetRecords removes the stored records among those of expired endpoints from the disk.
func (n *Node) forgetRecords(expired []string) {
	var stored []string
	for _, id := range expired {
		if n.storedRecords[id] {
			delete(n.storedRecords, id)
			stored = append(stored, id)
		}
	}
	if len(stored) > 0 {
		n.effects = append(n.effects, ForgetRecords{EndpointIDs: stored})
	}
}
