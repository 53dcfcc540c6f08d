package scale

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"notchhinge/internal/lab/contend"
	"notchhinge/internal/lab/plane"
	"notchhinge/internal/lab/report"
)

// Model is what the model of the control plane says for the same size: bytes a second by cause, of a router and of a keeper.
func Model(o *Options) (router, keeper Rows) {
	const length, calm = 25 * time.Second, 15 * time.Second
	d := &plane.Scenario{Seed: o.Seed, Replicas: o.Keepers, Routers: o.Routers, Engines: o.Engines, Tolerate: (o.Keepers - 1) / 2, Length: length}
	c := d.Measure(calm)
	router, keeper = Rows{}, Rows{}
	for _, x := range c.Router {
		router[x.Cause] = x.Bytes
	}
	for _, x := range c.Replica {
		keeper[x.Cause] = x.Bytes
	}
	return router, keeper
}

// Report lists what was measured; the calm part stands beside the model's figures.
func (r *Result) Report(router, keeper Rows) *report.Result {
	out := &report.Result{Name: "scale", Seed: r.Seed, Cores: r.Cores, About: fmt.Sprintf(
		"A control plane of %d routers (%d of them real, all others hollow), %d hollow engines and %d real keepers on loopback.", r.Routers, r.Real, r.Engines, r.Keepers)}
	ms := func(name string, d time.Duration, note string) {
		out.Add(name, float64(d.Microseconds())/1000, "ms", note)
	}
	out.Add("routers", float64(r.Routers), "", r.Reduced)
	out.Add("real routers", float64(r.Real), "", "")
	out.Add("engines", float64(r.Engines), "", "")
	out.Add("keepers", float64(r.Keepers), "", "")
	out.Add("zones", float64(r.Zones), "", "")
	out.Add("tenants", float64(r.Tenants), "", "")
	out.Add("configuration", float64(r.Text), "B", fmt.Sprintf("%d routes", r.Routes))
	out.Add("all engines known at all hollow routers", r.Known.Seconds(), "s", "from the first start on")
	out.Add("first configuration at all hollow routers", r.Told.Seconds(), "s", "from the first start on")
	out.Add("memory left at the least", float64(r.Least), "MB", "of the machine")
	for _, p := range r.Parts {
		in := func(name string, x float64, unit, note string) { out.Add(p.Name+": "+name, x, unit, note) }
		in("seconds", p.Seconds, "s", "")
		for _, side := range []struct {
			who         string
			rows, model Rows
		}{{"router", p.Hollow, router}, {"keeper", p.Keeper, keeper}} {
			for _, cause := range slices.Sorted(maps.Keys(side.rows)) {
				in(side.who+", "+cause, side.rows[cause], "B/s", beside(p.Name, side.rows[cause], side.model[cause]))
			}
			in(side.who+", all", side.rows.Sum(), "B/s", beside(p.Name, side.rows.Sum(), side.model.Sum()))
		}
		in("the router that sends most", p.Largest, "B/s", "")
		in("of a router's bytes, to another zone", 100*p.Zones, "%", "")
		in("of a router's bytes, to another region", 100*p.Regions, "%", "")
		in("routers with a keeper, both ways", p.ToKeeper, "B/s", "")
		for _, side := range []struct {
			who string
			c   Cost
		}{{"keeper", p.Keepers}, {"real router", p.Real}} {
			in(side.who+", processor", 100*side.c.Core, "% of a core", "")
			in(side.who+", processor, the most", 100*side.c.MostCore, "% of a core", "")
			in(side.who+", memory", side.c.MB, "MB", "resident")
			in(side.who+", memory, the most", side.c.MostMB, "MB", "resident")
			in(side.who+", descriptors, the most", side.c.Files, "", "")
			in(side.who+", disk, the most", side.c.Disk, "MB", "")
		}
		in("beats acknowledged", p.Beats, "1/s", "")
		in("beats not acknowledged within a second", float64(p.Unheard), "", "")
		ms(p.Name+": slowest acknowledged beat", p.Slowest, "")
		in("processor of the lab itself", p.Lab, "cores", "hollow routers and engines; it is beside what is measured")
	}
	if r.Rate > 0 {
		out.Add("peak: usage windows due", float64(r.Owed), "", "")
		out.Add("peak: usage windows reported", float64(r.Windows), "", "")
		out.Add("peak: tenants with requests in a window", float64(r.Distinct), "", "")
	}
	for i, c := range r.Changes {
		name := fmt.Sprintf("change %d: ", i+1)
		ms(name+"acknowledged", c.Acked, fmt.Sprintf("%d tries", c.Tries))
		ms(name+"at half of the hollow routers", c.P50, "")
		ms(name+"at 95 in 100", c.P95, "")
		ms(name+"at the last", c.Last, "")
		ms(name+"in force at the last real router", c.Real, "looked for every 20 ms or so")
		out.Add(name+"missing at", float64(c.Missing), "routers", "after 12 s")
	}
	if r.Complaint != "" {
		out.Add("complaints in logs", 1, "kind", "the most frequent: "+r.Complaint)
	}
	return out
}

// beside notes the model's figure for the calm part, which it plays.
func beside(part string, x, model float64) string {
	if part != "calm" {
		return ""
	}
	if model == 0 {
		return "not in the model"
	}
	note := fmt.Sprintf("model %.0f, %+.0f%%", model, 100*(x/model-1))
	return strings.ReplaceAll(note, "-0%", "+0%")
}

// Orders plays how long an order of the operator takes by the model of ballots (contend) where keepers stand in regions so far
// apart: seven keepers, links of 15 MB/s as in the operators' larger deployment, and no start of a connection, which would slow a
// large text more.
func Orders(bytes int, out *report.Result) {
	for _, trip := range []time.Duration{30, 100, 150, 250} {
		trip *= time.Millisecond
		for _, size := range []int{100, bytes} {
			m := contend.Cluster{Replicas: 7, Latency: trip / 2, Link: 15e6, Sync: 5 * time.Millisecond, Disk: 120e6}
			s := contend.Run(m, []contend.Proposal{{Replica: 0, Bytes: size}}, 1)
			name := fmt.Sprintf("model: an order of %d bytes with round trips of %d ms", size, trip.Milliseconds())
			if s[0].Elapsed == 0 {
				out.Add(name, -1, "ms", fmt.Sprintf("%d tries in an hour", s[0].Attempts))
				continue
			}
			out.Add(name, float64(s[0].Elapsed.Milliseconds()), "ms", fmt.Sprintf("%d tries", s[0].Attempts))
		}
	}
}
