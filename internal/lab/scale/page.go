package scale

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// The aims of the operators' letter, and what follows from them by division.
const (
	aimRouters   = 330
	aimEngines   = 1500
	aimRequests  = 10_000
	aimTokens    = 3_600_000
	aimTenants   = 14_000
	aimSessions  = 2_500_000
	aimPrefixes  = 20_000
	aimChanges   = 8500
	aimCore      = 3.5 // % of a core, for control at a router
	aimMB        = 64
	aimBytes     = 11_000 // a second, likewise
	aimInForce   = 4000   // ms
	aimFirst     = 390    // ms
	aimGap       = 35     // ms between tokens
	aimRestarts  = 230
	changeEveryS = 86_400.0 / aimChanges
)

// Page makes the tables of a page anew: what stands between `<!-- table: NAME -->` and `<!-- end -->` is replaced.
func Page(page string, r *Results) (string, error) {
	tables := map[string]func(*Results) (string, error){
		"budgets": budgets, "roles": roles, "model": model, "growth": growth, "benchmarks": benchmarks, "changes": changes, "orders": orders,
		"usage": usageWindows, "levels": levels, "mended": mended, "reckoned": reckoned, "start": start, "tidewater": sweepOf("tidewater"), "hsinmao": sweepOf("hsinmao"),
	}
	var out strings.Builder
	for page != "" {
		before, rest, found := strings.Cut(page, "<!-- table: ")
		out.WriteString(before)
		if !found {
			break
		}
		name, rest, ok := strings.Cut(rest, " -->")
		_, rest, ended := strings.Cut(rest, "<!-- end -->")
		make := tables[name]
		if !ok || !ended || make == nil {
			return "", fmt.Errorf("table %q: it is not known, or has no end", name)
		}
		text, err := make(r)
		if err != nil {
			return "", err
		}
		delete(tables, name)
		fmt.Fprintf(&out, "<!-- table: %s -->\n%s<!-- end -->", name, text)
		page = rest
	}
	if len(tables) > 0 {
		var left []string
		for name := range tables {
			left = append(left, name)
		}
		slices.Sort(left)
		return "", fmt.Errorf("the page has no place for %s", strings.Join(left, ", "))
	}
	return out.String(), r.Missing()
}

// table writes rows under a head.
func table(head []string, rows [][]string) string {
	var b strings.Builder
	line := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(head)
	line(slices.Repeat([]string{"---"}, len(head)))
	for _, r := range rows {
		line(r)
	}
	return b.String()
}

// num writes a figure with three digits that count.
func num(x float64) string {
	switch a := math.Abs(x); {
	case x == math.Trunc(x) && a < 1000:
		return fmt.Sprintf("%.0f", x)
	case a >= 1000:
		digits := math.Pow(10, math.Floor(math.Log10(a))-2)
		s := fmt.Sprintf("%.0f", math.Round(x/digits)*digits)
		for i := len(s) - 3; i > 0 && s[i-1] != '-'; i -= 3 {
			s = s[:i] + "," + s[i:]
		}
		return s
	case a >= 100:
		return fmt.Sprintf("%.0f", x)
	case a >= 10:
		return fmt.Sprintf("%.1f", x)
	case a >= 1:
		return fmt.Sprintf("%.2f", x)
	}
	return fmt.Sprintf("%.3g", x)
}

// perChange is what a change costs a mean router in bytes of configurations, by a run.
func (r *Results) perChange(run string) float64 {
	n := 0.0
	for r.runs[run][fmt.Sprintf("change %.0f: acknowledged", n+1)].Unit != "" {
		n++
	}
	return r.at(run, "changes: router, configurations") * r.at(run, "changes: seconds") / n
}

// worst is the time of the slowest of the five changes until it was at the last router, hollow or real.
func (r *Results) worst(run string) (worst float64) {
	for i := range 5 {
		for _, what := range []string{"at the last", "in force at the last real router"} {
			worst = max(worst, r.at(run, fmt.Sprintf("change %d: %s", i+1, what)))
		}
	}
	return worst
}

// perEvent is the processor time that an event takes in a router, in µs: through it, less without it.
func (r *Results) perEvent(streams int) float64 {
	return r.bench(fmt.Sprintf("node.Events/node/%d", streams), "us/event") - r.bench(fmt.Sprintf("node.Events/direct/%d", streams), "us/event")
}

func budgets(r *Results) (string, error) {
	perS := r.perChange("scale") / changeEveryS
	control := r.at("scale", "peak: router, all") + perS
	events := float64(aimTokens) / aimRouters
	core := events * r.perEvent(382) / 1e4
	factor := func(today, budget float64) string { return num(today / budget) }
	rows := [][]string{
		{
			"3.5% of a core for control", num(r.at("scale", "changes: real router, processor")) + "% with a change each 5 s", factor(r.at("scale", "changes: real router, processor"), aimCore),
			"partial views, reports of differences; a configuration in pieces of 32. Of a whole core of this machine",
		},
		{
			"64 MB for control", num(r.at("scale", "changes: real router, memory, the most")) + " MB, the whole process without traffic", factor(r.at("scale", "changes: real router, memory, the most"), aimMB),
			"four texts, one table; what traffic adds is not in it",
		},
		{
			"11 kB/s of control", num(control) + " B/s, of which " + num(perS) + " are configurations", factor(control, aimBytes),
			"**none yet** at this text: its difference is not found; another level of the compressor would (cause 2)",
		},
		{
			"a change in force everywhere within 4 s", num(r.worst("scale")) + " ms, the worst of five, on one machine; " + num(r.worst("scale-trial-1")) + ", " + num(r.worst("scale-trial-2")) + " and " + num(r.worst("scale-trial-3")) + " in trials", factor(max(r.worst("scale"), r.worst("scale-trial-1"), r.worst("scale-trial-2"), r.worst("scale-trial-3")), aimInForce) + " (the worst)",
			"**none yet** beside usage that cannot be agreed (cause 1), or between regions (cause 3)",
		},
		{
			"the same, no usage", num(r.worst("scale-homes")) + " ms; " + num(r.worst("scale-homes-trial")) + " in a trial", factor(max(r.worst("scale-homes"), r.worst("scale-homes-trial")), aimInForce) + " (the worst)",
			"ballots, gossip of the place, fetched from who has told; round trips of 0.1 ms",
		},
		{"8,500 changes a day", fmt.Sprintf("one each %.1f s", changeEveryS), "-", "one log: beside a usage window each 5 s"},
		{"seven machines for control", num(r.at("scale", "peak: keeper, processor, the most")) + "% of a core, " + num(r.at("scale", "changes: keeper, memory, the most")) + " MB, " +
			num(r.at("scale", "peak: keeper, all")) + " B/s the mean sends", "-", "engines' homes; every keeper hears of each engine"},
		{
			"usage windows reported", fmt.Sprintf("%.0f of %.0f", r.at("scale", "peak: usage windows reported"), r.at("scale", "peak: usage windows due")), "-",
			"**none yet** above 4,096 tenants a window (cause 1)",
		},
		{"10,000 requests a second", num(aimRequests/aimRouters) + " a second and router, " + num(r.bench("node.Request/node", "ns/op")/1e6) + " ms each through a router with its engine and client (" +
			num(r.bench("node.Request/direct", "ns/op")/1e6) + " without)", "-", "routers share nothing per request"},
		{
			"3.6 million tokens a second", num(events) + " events a second and router, " + num(r.perEvent(382)) + " µs each: " + num(core) + "% of a core", "-",
			"no budget of its own; a router of 0.16 of a core carries " + num(16/core) + " of it",
		},
		{"first token within 0.39 s for 95 in 100", "not measured at this size", "?", "see the sweeps below"},
		{"35 ms between tokens for 95 in 100", "not measured at this size", "?", "see the sweeps below; an engine's own pause is assumed to be nearly all of it"},
	}
	return table([]string{"budget", "today at that size", "factor", "what carries it"}, rows), nil
}

func roles(r *Results) (string, error) {
	var rows [][]string
	for _, x := range []struct{ what, name, unit string }{
		{"hollow router sends", "router, all", "B/s"},
		{"of it reports to keepers", "router, reports", "B/s"},
		{"of it news and signs", "router, news", "B/s"},
		{"of it configurations", "router, configurations", "B/s"},
		{"of a router's bytes to another zone", "of a router's bytes, to another zone", "%"},
		{"of a router's bytes to another region", "of a router's bytes, to another region", "%"},
		{"real router, processor", "real router, processor", "% of a core"},
		{"real router, memory, most", "real router, memory, the most", "MB"},
		{"real router, descriptors, most", "real router, descriptors, the most", ""},
		{"keeper sends", "keeper, all", "B/s"},
		{"of it news and signs", "keeper, news", "B/s"},
		{"of it ballots", "keeper, ballots", "B/s"},
		{"of it books", "keeper, reports", "B/s"},
		{"routers with a keeper, both ways", "routers with a keeper, both ways", "B/s"},
		{"keeper, processor, mean", "keeper, processor", "% of a core"},
		{"keeper, processor, most", "keeper, processor, the most", "% of a core"},
		{"keeper, memory, most", "keeper, memory, the most", "MB"},
		{"keeper, descriptors, most", "keeper, descriptors, the most", ""},
		{"keeper, disk, most", "keeper, disk, the most", "MB"},
		{"beats of engines", "beats acknowledged", "a second"},
		{"not acknowledged within a second", "beats not acknowledged within a second", ""},
		{"slowest acknowledged beat", "slowest acknowledged beat", "ms"},
	} {
		row := []string{x.what, x.unit}
		for _, part := range []string{"calm", "peak", "changes"} {
			row = append(row, num(r.at("scale", part+": "+x.name)))
		}
		rows = append(rows, row)
	}
	return table([]string{"330 routers, 1,500 engines, 7 keepers, 22 zones", "", "calm", "peak, 14,000 tenants", "peak, with changes"}, rows), nil
}

func model(r *Results) (string, error) {
	var rows [][]string
	for _, who := range []string{"router", "keeper"} {
		for _, cause := range []string{"news", "digests", "shuffles", "reports", "ballots", "leases", "all"} {
			name := "calm: " + who + ", " + cause
			if _, ok := r.runs["scale"][name]; !ok {
				continue
			}
			rows = append(rows, []string{who + ", " + cause, num(r.at("scale", name)), r.row("scale", name).Note, num(r.at("scale-homes", name)), r.row("scale-homes", name).Note})
		}
	}
	return table([]string{"calm, bytes a second", "22 zones", "beside the model", "7 zones, a keeper in each", "beside the model"}, rows), nil
}

func growth(r *Results) (string, error) {
	var rows [][]string
	sizes := []float64{30, 100, 330}
	runs := []string{"scale-30", "scale-100", "scale"}
	for _, x := range []struct{ what, name, unit string }{
		{"router sends, calm", "calm: router, all", "B/s"},
		{"router sends, peak", "peak: router, all", "B/s"},
		{"real router, processor, peak", "peak: real router, processor", "% of a core"},
		{"real router, memory, most", "peak: real router, memory, the most", "MB"},
		{"keeper sends, calm", "calm: keeper, all", "B/s"},
		{"keeper's news, calm", "calm: keeper, news", "B/s"},
		{"routers with a keeper, both ways, peak", "peak: routers with a keeper, both ways", "B/s"},
		{"keeper, processor, calm", "calm: keeper, processor", "% of a core"},
		{"keeper, processor, peak", "peak: keeper, processor", "% of a core"},
		{"keeper, memory, calm, most", "calm: keeper, memory, the most", "MB"},
		{"keeper, descriptors, calm", "calm: keeper, descriptors, the most", ""},
		{"tenants with requests in a window", "peak: tenants with requests in a window", ""},
		{"all engines known everywhere, from the start", "all engines known at all hollow routers", "s"},
	} {
		var ys []float64
		row := []string{x.what, x.unit}
		for _, run := range runs {
			y := r.at(run, x.name)
			ys, row = append(ys, y), append(row, num(y))
		}
		row = append(row, fitted(sizes, ys, 1)...)
		rows = append(rows, row)
	}
	sizes = nil
	for _, n := range []int{16, 32, 64, 128, 200, 330} {
		sizes = append(sizes, float64(n))
	}
	engines := []int{73, 145, 291, 582, 909, 1500}
	for _, what := range []string{"sent by a router", "sent by a keeper", "taken by a keeper"} {
		var ys []float64
		for i, n := range sizes {
			ys = append(ys, r.at("capacity", fmt.Sprintf("%s, %.0f routers, %d engines", what, n, engines[i])))
		}
		rows = append(rows, append([]string{"model: " + what + " (32, 128, 330 of six sizes)", "B/s", num(ys[1]), num(ys[3]), num(ys[5])}, fitted(sizes, ys, 1)...))
	}
	return table([]string{"figure", "", "30 routers, 136 engines", "100, 455", "330, 1,500", "exponent", "largest residual", "extrapolated by"}, rows), nil
}

// fitted are exponent, residual, and by how much the last point is extrapolated.
func fitted(xs, ys []float64, by float64) []string {
	for _, y := range ys {
		if !(y > 0) {
			return []string{"-", "-", "not: measured"}
		}
	}
	f := FitPower(xs, ys)
	far := "not: measured"
	if by > 1 {
		far = num(by) + " times"
	}
	return []string{fmt.Sprintf("%.2f", f.Exponent), fmt.Sprintf("%.0f%%", 100*f.Residual), far}
}

func benchmarks(r *Results) (string, error) {
	var rows [][]string
	add := func(what, format, unit string, scale float64, shown string, aim float64, sizes ...float64) {
		var ys []float64
		cells := make([]string, 0, len(sizes))
		for _, n := range sizes {
			y := r.bench(strings.ReplaceAll(format, "N", fmt.Sprintf("%.0f", n)), unit) / scale
			ys = append(ys, y)
			cells = append(cells, fmt.Sprintf("%s at %s", num(y), num(n)))
		}
		last := sizes[len(sizes)-1]
		row := append([]string{what, "`" + strings.Split(format, "/")[0] + "`", strings.Join(cells, ", "), shown}, fitted(sizes, ys, aim/last)...)
		at := ys[len(ys)-1]
		if aim > last {
			at = FitPower(sizes, ys).At(aim)
		}
		rows = append(rows, append(row, num(at)))
	}
	add("text of a configuration, over tenants", "declared.Tenants/digest/N", "text-bytes", 1, "B", aimTenants, 1400, 4600, 14000)
	add("reading it", "declared.Tenants/read/N", "ns/op", 1e6, "ms", aimTenants, 1400, 4600, 14000)
	add("reading it with its digest (a keeper)", "declared.Tenants/digest/N", "ns/op", 1e6, "ms", aimTenants, 1400, 4600, 14000)
	add("reading and compiling it at once (a router)", "edge.Tenants/at_once/N", "ns/op", 1e6, "ms", aimTenants, 1400, 4600, 14000)
	add("the same with a router's pauses", "edge.Tenants/paused/N", "ns/op", 1e6, "ms", aimTenants, 1400, 4600, 14000)
	add("what a router keeps of it", "edge.Tenants/at_once/N", "held-bytes", 1e6, "MB", aimTenants, 1400, 4600, 14000)
	add("a router's table of routes, over routes", "edge.Configuration/N", "ns/op", 1e6, "ms", 5000, 10, 1000, 5000)
	add("a report to a keeper, at a keeper, over routers", "usage.Table/report/N", "ns/op", 1e3, "µs", aimRouters, 30, 100, 330)
	add("a usage window in its book", "usage.Table/report/N", "held-bytes", 1e6, "MB", aimRouters, 30, 100, 330)
	add("the same, written for another keeper", "usage.Table/write/N", "book-bytes", 1e3, "kB", aimRouters, 30, 100, 330)
	add("writing it", "usage.Table/write/N", "ns/op", 1e6, "ms", aimRouters, 30, 100, 330)
	add("adding it up", "usage.Table/sum/N", "ns/op", 1e6, "ms", aimRouters, 30, 100, 330)
	add("an engine's beat at a keeper, over engines", "discovery.Endpoints/heartbeat/N", "ns/op", 1e3, "µs", aimEngines, 150, 500, 1500)
	add("a tick of a router that knows them", "discovery.Endpoints/tick/N", "ns/op", 1e3, "µs", aimEngines, 150, 500, 1500)
	add("an engine in the heap of a process", "discovery.Endpoints/heartbeat/N", "B/engine", 1, "B", aimEngines, 150, 500, 1500)
	add("a request at the core, over engines of its service", "broker.Hosts/N_boxes/0_prefixes", "ns/op", 1e3, "µs", 300, 30, 100, 300)
	add("the same with 1,000 shared prefixes", "broker.Hosts/N_boxes/1000_prefixes", "ns/op", 1e3, "µs", 300, 30, 100, 300)
	add("the same with 4,000", "broker.Hosts/N_boxes/4000_prefixes", "ns/op", 1e3, "µs", 300, 30, 100, 300)
	add("a session in the table, over sessions", "broker.Sessions/N", "B/session", 1, "B", 65000, 2000, 7600, 25000, 65000)
	var cells []string
	var xs, ys []float64
	for _, n := range []int{40, 120, 382} {
		cells = append(cells, fmt.Sprintf("%s at %d", num(r.perEvent(n)), n))
		xs, ys = append(xs, float64(n)), append(ys, r.perEvent(n))
	}
	rows = append(rows, append(append([]string{"an event through a router, over streams", "`node.Events`", strings.Join(cells, ", "), "µs"}, fitted(xs, ys, 1)...), num(ys[2])))
	cells = nil
	for _, n := range []int{4600, 9200, 10000, 11000, 12000, 14000} {
		cells = append(cells, fmt.Sprintf("%s at %s", num(r.bench(fmt.Sprintf("delta.Tenants/%d", n), "delta-bytes")), num(float64(n))))
	}
	rows = append(rows, []string{"the difference of one figure, over tenants", "`delta.Tenants`", strings.Join(cells, ", "), "B", "a step", "-", "not: measured", num(r.bench("delta.Tenants/14000", "delta-bytes"))})
	return table([]string{"what", "benchmark", "measured, the least of three", "", "exponent", "largest residual", "extrapolated by", "at that size"}, rows), nil
}

func changes(r *Results) (string, error) {
	var rows [][]string
	for i := range 5 {
		row := []string{fmt.Sprint(i + 1)}
		for _, run := range []string{"scale", "scale-homes"} {
			for _, what := range []string{"acknowledged", "at half of the hollow routers", "at 95 in 100", "at the last", "in force at the last real router"} {
				row = append(row, num(r.at(run, fmt.Sprintf("change %d: %s", i+1, what))))
			}
		}
		rows = append(rows, row)
	}
	return table([]string{"change", "usage at the peak: acknowledged, ms", "half", "95 in 100", "last", "in force at real ones", "no usage: acknowledged, ms", "half", "95 in 100", "last", "in force at real ones"}, rows), nil
}

func orders(r *Results) (string, error) {
	var rows [][]string
	text := r.at("scale", "configuration")
	for _, trip := range []int{30, 100, 150, 250} {
		row := []string{fmt.Sprint(trip)}
		for _, size := range []float64{100, text} {
			x := r.row("scale", fmt.Sprintf("model: an order of %.0f bytes with round trips of %d ms", size, trip))
			if x.Figure < 0 {
				row = append(row, "never: "+x.Note)
				continue
			}
			row = append(row, num(x.Figure)+" ms ("+x.Note+")")
		}
		rows = append(rows, row)
	}
	return table([]string{"round trip between keepers, ms", "100 bytes chosen after", num(text) + " bytes chosen after"}, rows), nil
}

// mended holds the run against a trial of the same size with two causes taken away.
func mended(r *Results) (string, error) {
	const was, is = "scale", "scale-mended-trial"
	var rows [][]string
	for _, x := range []struct{ what, name, unit string }{
		{"usage windows due", "peak: usage windows due", ""},
		{"reported", "peak: usage windows reported", ""},
		{"keeper sends, peak", "peak: keeper, all", "B/s"},
		{"of it ballots", "peak: keeper, ballots", "B/s"},
		{"of it books", "peak: keeper, reports", "B/s"},
		{"keeper sends, with changes", "changes: keeper, all", "B/s"},
		{"router sends, peak", "peak: router, all", "B/s"},
		{"router sends, with a change each 5 s", "changes: router, all", "B/s"},
		{"keeper, processor, peak, the most", "peak: keeper, processor, the most", "% of a core"},
		{"keeper, memory, the most", "changes: keeper, memory, the most", "MB"},
		{"beats not acknowledged, with changes", "changes: beats not acknowledged within a second", ""},
	} {
		rows = append(rows, []string{x.what, x.unit, num(r.at(was, x.name)), num(r.at(is, x.name))})
	}
	rows = append(rows, []string{"a change at a router", "B", num(r.perChange(was)), num(r.perChange(is))})
	rows = append(rows, []string{"the slowest of five changes, at the last router", "ms", num(r.worst(was)), num(r.worst(is))})
	return table([]string{"330 routers, 1,500 engines", "", "today", "trial, both bounds at 16,384 and the better level"}, rows), nil
}

func levels(r *Results) (string, error) {
	var rows [][]string
	for _, level := range []string{"fastest", "default", "better"} {
		row := []string{level}
		for _, n := range []int{4600, 14000, 28000, 56000} {
			name := fmt.Sprintf("delta.Levels/%s/%d", level, n)
			row = append(row, num(r.bench(name, "delta-bytes"))+" B, "+num(r.bench(name, "ns/op")/1e6)+" ms")
		}
		rows = append(rows, row)
	}
	return table([]string{"level of the compressor", "4,600 tenants", "14,000", "28,000", "56,000"}, rows), nil
}

// reckoned are figures that follow from results and aims by arithmetic; what is taken for granted in one is said.
func reckoned(r *Results) (string, error) {
	const (
		tokens  = float64(aimTokens) / aimRequests // a request
		windows = 7                                // of usage that a book holds: three delays of 10 s and a window of 5
		idle    = 10.0                             // s that an engine keeps a connection, as on the sites that are known
		resting = 600.0                            // s that a table keeps a session
	)
	events := float64(aimTokens) / aimRouters
	pairs := float64(aimRouters * aimEngines)
	text := r.at("scale", "configuration")
	digest := r.bench("declared.Tenants/digest/14000", "ns/op") / 1e6
	session := r.bench("broker.Sessions/25000", "B/session")
	routers := []float64{3, 6, 12, 24, 48, 96}
	var kept []float64
	for _, n := range routers {
		kept = append(kept, r.at("chunks", fmt.Sprintf("kept: design, routers %.0f", n)))
	}
	law := FitPower(routers, kept)
	ballots := r.at("scale-homes", "changes: keeper, ballots") * r.at("scale-homes", "changes: seconds") * 7 / 5
	between := aimRouters * r.at("scale", "peak: router, all") * r.at("scale", "peak: of a router's bytes, to another region") / 100
	whole := r.perChange("scale-homes")
	rows := [][]string{
		{
			"events through a router", fmt.Sprintf("%s a second on %s streams at once, %s%% of a core", num(events), num(events*aimGap/1000), num(events*r.perEvent(382)/1e4)),
			fmt.Sprintf("3.6 million / 330; %s µs each (`node.Events`, measured at that size)", num(r.perEvent(382))), "an event a token; 35 ms apart",
		},
		{"its link", fmt.Sprintf("%s MB a second to clients, as much from engines", num(events*170/1e6)), "events x 170 bytes", "100 bytes of an event and 70 of headers; a packet each"},
		{
			"requests at a router's core", fmt.Sprintf("%s ms of a core a second", num(aimRequests/aimRouters*r.bench("broker.Hosts/300_boxes/4000_prefixes", "ns/op")/1e6)),
			"30 a second, 300 engines and 4,000 prefixes of a model (`broker.Hosts`)", "models share traffic evenly",
		},
		{"a configuration's digest at a keeper", fmt.Sprintf("%s ms twice a change, %s%% of a core", num(digest), num(2*digest/changeEveryS/10)), "`declared.Tenants/digest`, a change each 10.2 s", ""},
		{"ballots for one change, all keepers", fmt.Sprintf("%s MB, %s times the text", num(ballots/1e6), num(ballots/text)), "scale-homes, changes", "six others: six times the text is the least"},
		{"a change at the routers, all", fmt.Sprintf("%s MB: %s kB each", num(whole*aimRouters/1e6), num(whole/1e3)), "scale-homes, changes", ""},
		{"usage book of R x T at a keeper", fmt.Sprintf("%s MB", num(windows*r.bench("usage.Table/report/330", "held-bytes")/1e6)), "`usage.Table/report`, seven windows", "150 requests a window and router, part of a tenant falls with its rank to the 1.01"},
		{"a window's books to the holder", fmt.Sprintf("%s MB from six others, each 5 s", num(6*r.bench("usage.Table/write/330", "book-bytes")/1e6)), "`usage.Table/write`", ""},
		{"beats at a keeper", fmt.Sprintf("%s a second if each engine has a home", num(aimEngines/1.5/7)), "1,500 / 1.5 s / 7", "15 of 22 zones have none: 68 in 100 of beats come to routers"},
		{"pairs of router and engine", fmt.Sprintf("%s; one is met each %s s", num(pairs), num(pairs/aimRequests)), "330 x 1,500 / 10,000", ""},
		{
			"requests that find a connection open", fmt.Sprintf("%s%%; else %s new connections a second, %s a router", num(100*(1-math.Exp(-idle*aimRequests/pairs))), num(aimRequests*math.Exp(-idle*aimRequests/pairs)), num(aimRequests*math.Exp(-idle*aimRequests/pairs)/aimRouters)),
			"1 - exp(-10 s / 49.5 s)", "uniform draw; engines keep an idle one 10 s; fewer new ones where prefixes gather traffic",
		},
		{"descriptors of a router", fmt.Sprintf("%s for streams, both sides, %s idle", num(2*events*aimGap/1000), num(aimRequests/aimRouters*idle)), "streams at once; requests a second x 10 s", "likewise"},
		{
			"prompts' tokens kept, 330 routers that draw for themselves", num(law.At(aimRouters)),
			fmt.Sprintf("`lab/results/chunks`: exponent %.2f, residual %.0f%%, 96 routers and %.2f measured, extrapolated 3.4 times", law.Exponent, 100*law.Residual, kept[5]), "that trial's 48 engines and popularity",
		},
		{
			"sessions at a router", fmt.Sprintf("%s if each keeps to one router; %s of the last ten minutes if none does: %s MB", num(float64(aimSessions)/aimRouters), num(aimRequests/aimRouters*resting), num(aimRequests/aimRouters*resting*session/1e6)),
			"2.5 million / 330; 30 a second x 600 s x `broker.Sessions`; a table holds 65,536", "",
		},
		{"requests of a session that come to the router of the one before", fmt.Sprintf("%s%% where clients pick any", num(100.0/aimRouters)), "1 / 330; a session asks each 250 s (2.5 million / 10,000)", "clients pick a router anew for each"},
		{"control bytes between regions, of all routers", fmt.Sprintf("%s MB a second", num(between/1e6)), "peak: 330 x bytes x part to another region", "six of seven others are elsewhere: views do not know regions"},
		{"a restart", fmt.Sprintf("%s kB of configuration, %s kB of engines; %s MB a day for 230", num(whole/1e3), num(aimEngines*0.1), num(aimRestarts*(whole+aimEngines*100)/1e6)), "scale-homes", "100 bytes an engine's record"},
		{"a zone that starts anew", fmt.Sprintf("%s routers and %s engines; %s MB", num(float64(aimRouters)/22), num(float64(aimEngines)/22), num(aimRouters/22*(whole+aimEngines*100)/1e6)), "the same", "likewise"},
	}
	return table([]string{"what", "comes to", "from", "assumed"}, rows), nil
}

func usageWindows(r *Results) (string, error) {
	var rows [][]string
	for i, run := range []string{"scale-30", "scale-100", "scale"} {
		rows = append(rows, []string{
			[]string{"30", "100", "330"}[i], num(r.at(run, "peak: tenants with requests in a window")), num(r.at(run, "peak: usage windows due")),
			num(r.at(run, "peak: usage windows reported")), num(r.at(run, "peak: keeper, ballots")), num(r.at(run, "peak: keeper, reports")),
		})
	}
	return table([]string{"routers", "tenants with requests in a window", "windows due", "reported", "a keeper's ballots, B/s", "a keeper's books, B/s"}, rows), nil
}

func start(r *Results) (string, error) {
	var rows [][]string
	for i, run := range []string{"scale-30", "scale-100", "scale", "scale-homes"} {
		rows = append(rows, []string{[]string{"30, 136", "100, 455", "330, 1,500", "330, 1,500 in 7 zones"}[i], num(r.at(run, "first configuration at all hollow routers")), num(r.at(run, "all engines known at all hollow routers"))})
	}
	return table([]string{"routers, engines", "first configuration at all routers after, s", "all engines known at all routers after, s"}, rows), nil
}

// sweepOf is the table of a sweep, or says that there is none yet.
func sweepOf(site string) func(*Results) (string, error) {
	return func(r *Results) (string, error) {
		s, err := r.readSweep(site)
		if err != nil {
			return "", err
		}
		if s == nil {
			return fmt.Sprintf("`fleetbench sweep` on %s has not been run on this text.\n", site), nil
		}
		head := []string{"role", "figure"}
		for _, n := range s.Sizes {
			head = append(head, num(n)+" machines")
		}
		var rows [][]string
		for _, x := range s.Rows {
			row := []string{x.Role, x.Figure}
			for _, y := range x.At {
				row = append(row, num(y))
			}
			target := "-"
			if x.Target > 0 {
				target = num(x.Target)
			}
			rows = append(rows, append(append(row, fitted(s.Sizes, x.At, 1)[:2]...), target, x.Against))
		}
		text := table(append(head, "exponent", "largest residual", "at the target, by the bench", "against"), rows)
		return fmt.Sprintf("`%s`. %s\n\n%s", s.Command, s.Says, text), nil
	}
}
