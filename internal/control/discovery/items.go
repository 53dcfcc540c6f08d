package discovery

import (
	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
)

// Kinds of gossip items.
const (
	itemEndpoint  uint8 = iota + 1 // an endpoint's record; the version is its CallCount and its State
	itemConfig                     // a configuration exists; the version is its log index
	itemIdleDrop                   // an endpoint has dropped an idle connection; the version is the wall time in ms
	itemSuspicion                  // a suspicion or refutation; the version is the CallCount, and a bit that is set for a suspicion
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

func suspicionItem(x endpoints.Suspicion) gossip.Item {
	i := gossip.Item{Kind: itemSuspicion, Key: suspicionPrefix + x.ID, Version: x.CallCount << 1}
	if x.Suspect {
		i.Version |= 1
	}
	return i
}

// suspicionOf decodes a suspicion item. The prefix of the key is not checked: a key from the network may be shorter.
func suspicionOf(i *gossip.Item) endpoints.Suspicion {
	id := i.Key[min(len(suspicionPrefix), len(i.Key)):]
	return endpoints.Suspicion{ID: id, CallCount: i.Version >> 1, Suspect: i.Version&1 != 0}
}

func configItem(index uint64) gossip.Item {
	w := encoding.Writer{}
	w.Uvarint(index)
	return gossip.Item{Kind: itemConfig, Key: configKey, Version: index, Body: w.Buf}
}

func idleDropItem(version uint64) gossip.Item {
	return gossip.Item{Kind: itemIdleDrop, Key: idleDropKey, Version: version}
}

// isStale reports whether an item of another process is not to be taken over: the record of an endpoint that has been gone for
// long, or a malformed one.
func (n *Node) isStale(i *gossip.Item) bool {
	if i.Kind != itemEndpoint {
		return false
	}
	r, err := endpoints.Decode(i.Body)
	return err != nil || endpointPrefix+r.ID != i.Key || r.IsStale(n.wallMS)
}

// learnItem takes in an item that is new here.
func (n *Node) learnItem(l gossip.ItemLearned) {
	switch i := &l.Item; i.Kind {
	case itemEndpoint:
		n.learnRecord(i)
	case itemSuspicion:
		n.learnSuspicion(suspicionOf(i))
	case itemIdleDrop:
		n.lastIdleDrop = n.now
		n.out = append(n.out, IdleDropReported{})
	case itemConfig:
		n.out = append(n.out, ConfigAnnounced{Index: i.Version, From: l.From})
	}
}

func (n *Node) learnRecord(i *gossip.Item) {
	r, err := endpoints.Decode(i.Body)
	if err != nil {
		return // isStale has decoded it before
	}
	if len(n.Endpoints.Merge(n.now, r)) > 0 {
		n.endpointsChanged = true
		n.idByHash[gossip.Hash(r.ID)] = r.ID
	}
	if s, ok := n.Gossip.Item(suspicionPrefix + r.ID); ok { // it may have arrived before the record
		n.learnSuspicion(suspicionOf(&s))
	}
}
