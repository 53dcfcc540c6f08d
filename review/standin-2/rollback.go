package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// replaceOnce is one order of the operator. It is sent again, unchanged, until there is a clear answer, and returns its status.
func (f *fleet) replaceOnce(what string, base int, config []byte) (int, error) {
	for i := range 20 {
		m := f.machines[i%len(f.machines)]
		status, reply, err := callControl(f.control(m), "/Configuration.Replace", config, map[string]string{"X-Revision-Match": strconv.Itoa(base)})
		f.rec.logf("operator: %s, X-Revision-Match %d, sent to %s: %d %q %v", what, base, m.name, status, reply, errText(err))
		if err == nil && (status == 200 || status/100 == 4 && status != 408 && status != 429) {
			return status, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, fmt.Errorf("%s: no clear answer", what)
}

// describe reads the configuration back.
func (f *fleet) describe() ([]byte, error) {
	var last error
	for i := range 20 {
		m := f.machines[i%len(f.machines)]
		resp, err := controlClient.Get("http://" + f.control(m) + "/Configuration.Describe")
		if err == nil {
			b, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil && resp.StatusCode == 200 {
				return b, nil
			}
			last = fmt.Errorf("status %d, %v", resp.StatusCode, err)
		} else {
			last = err
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, last
}

// oldVersionAcknowledged checks that an order with an old revision, on top of the newest one, is not acknowledged.
func oldVersionAcknowledged(rec *record, binary, dir string, trouble bool) ([]string, error) {
	const host, key = "ficu95.example", "i9n73hh2b9wu3fexd9dn"
	f, err := newFleet(rec, binary, dir, 3, 73)
	if err != nil {
		return nil, err
	}
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		return nil, err
	}
	for i := range 6 {
		service := []string{"huvo11a", "wuno96b"}[i%2]
		e, err := startEngine(rec, fmt.Sprintf("i-%s-%d", service, i), fmt.Sprintf("127.73.%d.%d", i%3+1, 100+i), func(*http.Request) behavior {
			return behavior{work: 5 * time.Millisecond, body: 100}
		})
		if err != nil {
			return nil, err
		}
		e.reg = f.register(e.id, service, e.addr(), zones[i%3], 13)
	}
	services := []string{"huvo11a", "wuno96b"}
	version := func(revision int, service string) []byte {
		return configuration(revision, services, key, route("r-35ieisp", host, "/pufi791/", "idempotent", service, 2500, 1000, 2))
	}
	v7, v9, v10 := version(7, "huvo11a"), version(9, "wuno96b"), version(10, "wuno96b")
	if err := f.replaceConfig(0, v7, 20*time.Second); err != nil {
		return nil, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // longer than contact_ms: all machines are in touch
	if status, err := f.replaceOnce("revision 9", 7, v9); err != nil || status != 200 {
		return nil, fmt.Errorf("revision 9 on top of 7: %d %v", status, err)
	}
	var broken []string
	oldStatus := 0
	if trouble {
		time.Sleep(4 * time.Second) // longer than config_apply_ms
		if oldStatus, err = f.replaceOnce("revision 7 again, as the operator's file of it reads", 9, v7); err != nil {
			return nil, err
		}
		if oldStatus/100 == 2 {
			broken = append(broken, "an invalid configuration, whose revision 7 is not above the current one, 9, was acknowledged")
		}
		time.Sleep(4 * time.Second)
		now, err := f.describe()
		if err != nil {
			return nil, err
		}
		rec.logf("operator: reads back: is revision 7 %v, is revision 9 %v", bytes.Equal(now, v7), bytes.Equal(now, v9))
		for _, m := range f.routers() {
			c, err := dialRouter(f.front(m))
			if err != nil {
				return nil, err
			}
			q := call{id: fmt.Sprintf("%016x", time.Now().UnixNano()), host: host, path: "/pufi791/1", key: key, deadline: 2500 * time.Millisecond}
			a := c.do(&q)
			rec.logf("client: %s through %s: %d", q.id, m.name, a.status)
			c.Close()
		}
	}
	status, err := f.replaceOnce("revision 10", 9, v10)
	if err != nil {
		return nil, err
	}
	if status == 200 && oldStatus == 200 {
		broken = append(broken, "two different changes on top of revision 9 were both acknowledged")
	}
	now, err := f.describe()
	if err != nil {
		return nil, err
	}
	if status == 200 && !bytes.Equal(now, v10) {
		broken = append(broken, "what was read back is not the newest acknowledged configuration")
	}
	return broken, nil
}
