package discovery

import (
	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
)

// Kinds of gossip items.
const (
	itemEndpoint  uint8 = iota + 1 // record of an endpoint; the version contains its CallCount and State
	itemConfig                     // announcement of a configuration; the version is its log index
	itemIdleDrop                   // report of an idle drop; the version is the wall time in ms, but always above the previous version
	itemSuspicion                  // suspicion or refutation; the version contains the CallCount, and the lowest bit is set for a suspicion
)

// Keys of gossip items, and their prefixes.
const (
	configKey       = "configuration"
	idleDropKey     = "forgets"
	endpointPrefix  = "e/"
	suspicionPrefix = "q/"
)

func endpointItem(r *endpoints.Record) gossip.Item {
	return gossip.Item{Kind: itemEndpoint, Key: endpointPrefix + r.ID, Version: r.CallCount<<2 | uint64(r.State), Body: r.Encode()}
}

func suspicionItem(suspicion endpoints.Suspicion) gossip.Item {
	item := gossip.Item{Kind: itemSuspicion, Key: suspicionPrefix + suspicion.ID, Version: suspicion.CallCount << 1}
	if suspicion.Suspect {
		item.Version |= 1
	}
	return item
}

// suspicionOf decodes a suspicion item. A key from the network may be shorter than the prefix, which is not checked.
func suspicionOf(item *gossip.Item) endpoints.Suspicion {
	id := item.Key[min(len(suspicionPrefix), len(item.Key)):]
	return endpoints.Suspicion{ID: id, CallCount: item.Version >> 1, Suspect: item.Version&1 != 0}
}

func configItem(index uint64) gossip.Item {
	w := encoding.Writer{}
	w.Uvarint(index)
	return gossip.Item{Kind: itemConfig, Key: configKey, Version: index, Body: w.Buf}
}

func idleDropItem(version uint64) gossip.Item {
	return gossip.Item{Kind: itemIdleDrop, Key: idleDropKey, Version: version}
}

// isStale reports whether an item of another process must be ignored: a stale record of a gone endpoint, or a malformed record.
func (n *Node) isStale(item *gossip.Item) bool {
	if item.Kind != itemEndpoint {
		return false
	}
	r, err := endpoints.Decode(item.Body)
	return err != nil || endpointPrefix+r.ID != item.Key || r.IsStale(n.wallMS)
}

// handleItem handles a new item from another process.
func (n *Node) handleItem(learned gossip.ItemLearned) {
	switch item := &learned.Item; item.Kind {
	case itemEndpoint:
		n.mergeRecord(item)
	case itemSuspicion:
		n.mergeSuspicion(suspicionOf(item))
	case itemIdleDrop:
		n.lastIdleDrop = n.now
		n.effects = append(n.effects, IdleDropReported{})
	case itemConfig:
		n.effects = append(n.effects, ConfigAnnounced{Index: item.Version, From: learned.From})
	}
}

func (n *Node) mergeRecord(item *gossip.Item) {
	r, err := endpoints.Decode(item.Body)
	if err != nil {
		return // cannot happen: isStale rejects malformed records
	}
	if len(n.Endpoints.Merge(n.now, r)) > 0 {
		n.endpointsChanged = true
		n.idByHash[gossip.Hash(r.ID)] = r.ID
		n.storeLater(&r)
	}
	if suspicion, ok := n.Gossip.Item(suspicionPrefix + r.ID); ok { // may have arrived before the record
		n.mergeSuspicion(suspicionOf(&suspicion))
	}
}
