package check

import "time"

// injectFault partitions the hosts, crashes one, makes one lose its disk, or makes one stale.
func (o *operatorWalk) injectFault() {
	h := o.hosts[o.draw(len(o.hosts))]
	switch k := o.draw(10); {
	case k < 3:
		o.partition(1<<h.index, o.draw(3), maxPartition)
	case k < 5:
		o.partition(1+o.draw(1<<len(o.hosts)-2), o.draw(3), time.Duration(1+o.draw(20))*time.Second)
	case k < 8 && h.isUp:
		h.kill(time.Duration(50+o.draw(4000)) * time.Millisecond)
	case k == 8:
		o.wipe(h)
	case k == 9:
		o.injectStaleReplica(h)
	}
}

// injectStaleReplica partitions a replica while races continue. Shortly before it is reachable again, each of the others may
// lose its disk or crash, and operators then read from the stale replica.
func (o *operatorWalk) injectStaleReplica(h *host) {
	o.partition(1<<h.index, 0, 4*time.Second)
	for i := range 2 {
		o.after(time.Duration(i+1)*time.Second, o.startRace)
	}
	o.after(4*time.Second-time.Duration(o.draw(200))*time.Millisecond, func() {
		for k := 1; k < len(o.hosts); k++ {
			switch other := o.hosts[(h.index+k)%len(o.hosts)]; {
			case o.draw(2) == 0:
				o.wipe(other)
			case other.isUp:
				other.kill(time.Duration(500+o.draw(3000)) * time.Millisecond)
			}
		}
		for i := range 10 {
			o.after(time.Duration(i)*100*time.Millisecond, func() { o.read(h.index) })
		}
	})
}

// wipe makes a host lose its disk and restart, if one more disk may be lost.
func (o *operatorWalk) wipe(h *host) {
	if !o.faultsEnded && o.canLoseDisk() {
		h.stop()
		h.format()
		h.kill(time.Duration(50+o.draw(300)) * time.Millisecond)
	}
}
