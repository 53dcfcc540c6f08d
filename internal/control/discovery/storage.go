package discovery

import (
	"maps"
	"slices"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
)

// A replica stores the records of endpoints that have signed off: those that a durable broadcast asks for, which waits for them, and those
// that it learns otherwise. The latter restore the number of disks that have a record after a disk was lost.

// restoreRecords adds the records that this replica stored before its restart, and disseminates them: the other processes may have been
// restarted at the same time.
func (n *Node) restoreRecords(records []endpoints.Record) {
	var items []gossip.Item
	for i := range records {
		r := &records[i]
		n.storedStates[r.ID] = r.State
		n.idByHash[gossip.Hash(r.ID)] = r.ID
		n.Endpoints.Restore(n.now, *r, n.wallMS)
		items = append(items, endpointItem(r))
	}
	n.endpointsChanged = len(records) > 0
	n.gossipEvents = append(n.gossipEvents, gossip.Broadcast{Items: items})
}

// storeItems requests storage of the records of a durable broadcast. It stores the state of the registry, which may be newer. An item
// that the registry did not accept is not stored.
func (n *Node) storeItems(e gossip.StoreItems) {
	var ids []string
	for i := range e.Items {
		r, err := endpoints.Decode(e.Items[i].Body)
		known := n.Endpoints.Find(r.ID)
		if err != nil || known == nil || known.State < r.State {
			n.gossipEvents = append(n.gossipEvents, gossip.ItemsStored{ID: e.ID})
			return
		}
		ids = append(ids, r.ID)
	}
	n.store(e.ID, ids)
}

// storeLater marks a record that was learned from another process for storage, if it has to be stored and is not yet.
func (n *Node) storeLater(r *endpoints.Record) {
	if n.self.Flags&gossip.FlagReplica != 0 && r.IsSignedOff() && n.storedStates[r.ID] < r.State {
		n.unstored[r.ID] = true
	}
}

// storeLearned requests storage of the records that are marked for it.
func (n *Node) storeLearned() {
	if len(n.unstored) > 0 {
		n.store(0, slices.Sorted(maps.Keys(n.unstored)))
	}
}

// store requests storage of the records of known endpoints.
func (n *Node) store(id gossip.StorageID, endpointIDs []string) {
	request := StoreRecords{ID: id}
	for _, endpointID := range endpointIDs {
		delete(n.unstored, endpointID)
		if e := n.Endpoints.Find(endpointID); e != nil {
			n.storedStates[endpointID] = e.State
			request.Records = append(request.Records, e.Record)
		}
	}
	if len(request.Records) > 0 {
		n.effects = append(n.effects, request)
	}
}

// recordStored handles the outcome of a storage request. Records that the disk has refused are stored again by a later sweep.
func (n *Node) recordStored(e RecordsStored) {
	n.gossipEvents = append(n.gossipEvents, gossip.ItemsStored{ID: e.Request.ID, Stored: e.Stored})
	if e.Stored {
		return
	}
	for i := range e.Request.Records {
		if id := e.Request.Records[i].ID; n.Endpoints.Find(id) != nil {
			n.refused[id] = true
		}
	}
}

// retryRefused marks the records that the disk has refused for storage.
func (n *Node) retryRefused() {
	for id := range n.refused {
		n.unstored[id] = true
	}
	clear(n.refused)
}

// forgetRecords removes the stored records among those of expired endpoints from the disk.
func (n *Node) forgetRecords(expired []string) {
	var stored []string
	for _, id := range expired {
		delete(n.unstored, id)
		delete(n.refused, id)
		if _, isStored := n.storedStates[id]; isStored {
			delete(n.storedStates, id)
			stored = append(stored, id)
		}
	}
	if len(stored) > 0 {
		n.effects = append(n.effects, ForgetRecords{EndpointIDs: stored})
	}
}
