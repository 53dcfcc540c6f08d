package main

import (
	"fmt"
	"net/http"
	"time"
)

// incompleteAcknowledged checks that a configuration that lacks its routes, services and request limits is not acknowledged.
func incompleteAcknowledged(rec *record, binary, dir string, trouble bool) ([]string, error) {
	const host, key = "ficu95.example", "i9n73hh2b9wu3fexd9dn"
	f, err := newFleet(rec, binary, dir, 3, 75)
	if err != nil {
		return nil, err
	}
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		return nil, err
	}
	for i := range 3 {
		e, err := startEngine(rec, fmt.Sprintf("i-%08x", 0x7f3a0000+i), fmt.Sprintf("127.75.%d.%d", i%3+1, 100+i), func(*http.Request) behavior {
			return behavior{work: 5 * time.Millisecond, body: 100}
		})
		if err != nil {
			return nil, err
		}
		e.reg = f.register(e.id, "huvo11a", e.addr(), zones[i%3], 13)
	}
	whole := configuration(7, []string{"huvo11a"}, key, route("r-35ieisp", host, "/pufi791/", "idempotent", "huvo11a", 2500, 1000, 2))
	if err := f.replaceConfig(0, whole, 20*time.Second); err != nil {
		return nil, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // longer than contact_ms: all machines are in touch
	request := func(when string) (statuses []int, err error) {
		for i, m := range f.routers() {
			c, err := dialRouter(f.front(m))
			if err != nil {
				return nil, err
			}
			q := call{id: fmt.Sprintf("%016x", time.Now().UnixNano()+int64(i)), host: host, path: "/pufi791/1", key: key, deadline: 2500 * time.Millisecond}
			a := c.do(&q)
			c.Close()
			rec.logf("client, %s: %s through %s: %d", when, q.id, m.name, a.status)
			statuses = append(statuses, a.status)
		}
		return statuses, nil
	}
	if _, err := request("before"); err != nil {
		return nil, err
	}
	if !trouble {
		return nil, nil
	}
	status, err := f.replaceOnce("revision 9 without routes, services, request_limits and tenants", 7, encodeCBOR(map[string]any{"revision": 9}))
	if err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // longer than config_apply_ms
	statuses, err := request("after")
	if err != nil {
		return nil, err
	}
	if status/100 == 2 {
		return []string{fmt.Sprintf("a configuration that cannot be read whole was acknowledged with %d; requests that were served before get %v", status, statuses)}, nil
	}
	return nil, nil
}
