package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"notchhinge/policy"
)

func unhex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// padded is a record given by its first bytes.
func padded(t testing.TB, size int, text string) []byte {
	b := unhex(t, text)
	return append(b, make([]byte, size-len(b))...)
}

// frame builds a batch.
func frame(number uint32, clock uint64, tail []byte, events ...[]byte) []byte {
	body := append(slices.Concat(events...), tail...)
	b := binary.LittleEndian.AppendUint32(nil, number)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(events)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint64(b, clock)
	return append(b, body...)
}

func infoJSON(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile("testdata/info.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func selectEv(instance uint32) []byte {
	return binary.LittleEndian.AppendUint32([]byte{EvSelect}, instance)
}

func pad(b []byte) []byte { return append(b, make([]byte, eventSize-len(b))...) }

func launchEv(seed uint64, length int) []byte {
	b := binary.LittleEndian.AppendUint64([]byte{EvLaunch}, seed)
	b = binary.LittleEndian.AppendUint32(b, 0) // the offset
	return pad(binary.LittleEndian.AppendUint32(b, uint32(length)))
}

func censusEv(bank uint16, offset, entries int) []byte {
	b := binary.LittleEndian.AppendUint16([]byte{EvCensus}, bank)
	b = binary.LittleEndian.AppendUint32(b, uint32(offset))
	return pad(binary.LittleEndian.AppendUint32(b, uint32(entries)))
}

func registryEv(bank uint16, how uint8) []byte {
	b := binary.LittleEndian.AppendUint64([]byte{EvRegistry}, 1)
	b = binary.LittleEndian.AppendUint16(b, bank)
	return pad(append(b, how))
}

func entry(id uint32, state uint8) []byte {
	b := binary.LittleEndian.AppendUint32(nil, id)
	b = append(b, 0, 0, 0, 0, 0, state)
	b = binary.LittleEndian.AppendUint32(b, math.Float32bits(1))
	return binary.LittleEndian.AppendUint64(b, 0)
}

func knockEv(rid, session uint64) []byte {
	b := binary.LittleEndian.AppendUint64([]byte{EvKnock}, rid)
	b = append(b, 0, 0, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint64(b, session)
	return pad(binary.LittleEndian.AppendUint32(b, 3_000_000))
}

func verdictEv(rid uint64, shot uint8, replica uint32, res uint16, ended uint8) []byte {
	b := binary.LittleEndian.AppendUint64([]byte{EvVerdict}, rid)
	b = append(b, shot)
	b = binary.LittleEndian.AppendUint32(b, replica)
	b = binary.LittleEndian.AppendUint16(b, res)
	b = binary.LittleEndian.AppendUint32(b, 1000)
	return pad(append(b, ended))
}

// action is one decoded record of a reply.
type action struct {
	instance uint32
	record
	tail []byte
}

func decodeReply(t testing.TB, p *Reply) []action {
	t.Helper()
	var out []action
	var instance uint32
	for at := 0; at < len(p.records); at += actionSize {
		r := record(p.records[at : at+actionSize])
		if r[0] == AcSource {
			instance = r.u32(1)
			continue
		}
		out = append(out, action{instance, r, p.tail})
	}
	return out
}

func answer(t testing.TB, h *Host, data []byte) []action {
	t.Helper()
	b, _, err := ReadBatch(bytes.NewReader(data), nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := h.Answer(b); err != nil {
		t.Fatal(err)
	}
	return decodeReply(t, &h.reply)
}

// running is a host with instances of the given numbers, each of which knows three replicas.
func running(t testing.TB, instances ...uint32) *Host {
	t.Helper()
	h := NewHost()
	answer(t, h, startFrame(t, instances...))
	return h
}

func startFrame(t testing.TB, instances ...uint32) []byte {
	text := infoJSON(t)
	tail := slices.Concat([]byte(text), entry(11, 0), entry(12, 0), entry(13, 0))
	events := [][]byte{censusEv(0, len(text), 3)}
	for _, i := range instances {
		events = append(events, pad(selectEv(i)), launchEv(uint64(i)+5, len(text)), registryEv(0, HowCached))
	}
	return frame(1, 1_000_000, tail, events...)
}

// The byte examples of the wire page.
func TestExampleFrames(t *testing.T) {
	empty := unhex(t, "01000000 00000000 00000000 5a5c800000000000")
	b, _, err := ReadBatch(bytes.NewReader(empty), nil)
	if err != nil || b.Number != 1 || b.Clock != 0x805c5a || len(b.events) != 0 {
		t.Fatalf("empty batch: %+v, %v", b, err)
	}
	var out bytes.Buffer
	if err := NewHost().Run(bytes.NewReader(empty), &out); err != nil {
		t.Fatal(err)
	}
	if want := unhex(t, "01000000 00000000 00000000"); !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply %x, want %x", out.Bytes(), want)
	}

	two := slices.Concat(unhex(t, "0c000000 05000000 18010000 5a5c800000000000"),
		padded(t, eventSize, "05 03000000"),
		padded(t, eventSize, `0c c4913a5ddf780a00 0000 00000000 640ad2557c3bf091 80a90300 e02e0000
			107cf3d901648e2b 0000e144 00009644 00008043 0100`),
		padded(t, eventSize, "07 4d00000000000000"),
		padded(t, eventSize, "05 05000000"),
		padded(t, eventSize, "01 192b6f0e2b010a00"))
	b, _, err = ReadBatch(bytes.NewReader(two), nil)
	if err != nil || b.Number != 12 || len(b.events) != 5*eventSize || len(b.tail) != 0 {
		t.Fatalf("batch of two instances: %+v, %v", b, err)
	}
	knock := record(b.events[eventSize : 2*eventSize])
	if knock.u64(1) != 0xa78df5d3a91c4 || knock.u32(23) != 240_000 || knock.u32(27) != 12_000 ||
		knock.f32(39) != 1800 || knock.f32(43) != 1200 || knock.f32(47) != 256 || knock.u16(51) != 1 {
		t.Errorf("fields of the request: % x", knock)
	}

	var p Reply
	p.Source(3)
	p.Assign(0xa78df5d3a91c4, 0x03124a07, 80_000)
	p.WakeAt(500_000, 0x4d)
	p.Source(5)
	p.Debug("two servers known")
	out.Reset()
	if err := p.WriteTo(&out, 12); err != nil {
		t.Fatal(err)
	}
	want := slices.Concat(unhex(t, "0c000000 89000000 05000000"),
		padded(t, actionSize, "0c 03000000"),
		padded(t, actionSize, "0a c4913a5ddf780a00 074a1203 80380100"),
		padded(t, actionSize, "09 20a10700 4d00000000000000"),
		padded(t, actionSize, "0c 05000000"),
		padded(t, actionSize, "04 00000000 11000000"),
		unhex(t, "74776f2073657276657273206b6e6f776e"))
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply\n%x, want\n%x", out.Bytes(), want)
	}
}

func TestExampleActions(t *testing.T) {
	for _, tc := range []struct {
		name, want, tail string
		do               func(p *Reply)
	}{
		{"Disconnect", "0d f211902c", "", func(p *Reply) { p.Disconnect(0x2c9011f2) }},
		{"Listen", "0e 01", "", func(p *Reply) { p.Listen(true) }},
		{"Listen off", "0e 00", "", func(p *Reply) { p.Listen(false) }},
		{"Notify", "01 ffffffff 00000000 04000000", "hi 7", func(p *Reply) { p.Notify(math.MaxUint32, "hi 7") }},
		{"Move", "07 192b6f0e2b010a00", "", func(p *Reply) { p.Move(0xa012b0e6f2b19) }},
		{"EndFailed", "0b 192b6f0e2b010a00", "", func(p *Reply) { p.EndFailed(0xa012b0e6f2b19) }},
		{"ReadList", "02", "", func(p *Reply) { p.ReadList() }},
		{"TurnAway", "08 192b6f0e2b010a00 90d00300", "", func(p *Reply) { p.TurnAway(0xa012b0e6f2b19, 250_000) }},
		{"Die", "05 00000000 12000000", "index out of range", func(p *Reply) { p.Die("index out of range") }},
		{"CallOff", "03 c4913a5ddf780a00 00", "", func(p *Reply) { p.CallOff(0xa78df5d3a91c4, 0) }},
		{"Check", "06 f211902c", "", func(p *Reply) { p.Check(0x2c9011f2) }},
	} {
		var p Reply
		tc.do(&p)
		if want := padded(t, actionSize, tc.want); !bytes.Equal(p.records, want) || string(p.tail) != tc.tail {
			t.Errorf("%s: %x %q, want %x %q", tc.name, p.records, p.tail, want, tc.tail)
		}
	}
}

func TestExampleEventsReachTheBalancer(t *testing.T) {
	h := running(t, 3)
	tail := unhex(t, "074a1203 0000 00 0000 00 0000803f 0000000000000000 f211902c 0100 00 0000 00 0000c03f 20145d0000000000")
	got := answer(t, h, frame(2, 9_000_000, tail,
		padded(t, eventSize, "05 03000000"),
		padded(t, eventSize, "04 0000 00000000 02000000"),
		padded(t, eventSize, "02 2900000000000000 0000 03"),
		knockEv(0xa78df5d3a91c4, 5)))
	if len(got) == 0 || got[0].u8(0) != AcAssign || got[0].instance != 3 {
		t.Fatalf("actions %v, want an Assign of instance 3", got)
	}
	to := got[0].u32(9)
	if to != 0x03124a07 && to != 0x2c9011f2 {
		t.Fatalf("sent to %#x, which is not listed", to)
	}
	// An unusual mix, all of it legal: none may end the host.
	answer(t, h, frame(3, 9_100_000, []byte("hi 7"),
		padded(t, eventSize, "05 03000000"),
		padded(t, eventSize, "06 c4913a5ddf780a00 00 074a1203 22240000"),
		padded(t, eventSize, "09 0200 00000000 04000000"),
		padded(t, eventSize, "08 f211902c 78050000 6400 00"),
		padded(t, eventSize, "03 c4913a5ddf780a00 00 074a1203 6400 44480000 01"),
		padded(t, eventSize, "01 192b6f0e2b010a00"),
		padded(t, eventSize, "07 4d00000000000000")))
}

func TestListNumbersAreResolvedInOrder(t *testing.T) {
	h := running(t, 1, 2)
	tail := slices.Concat(entry(21, 0), entry(31, 0))
	got := answer(t, h, frame(2, 2_000_000, tail,
		censusEv(4, 0, 1), pad(selectEv(1)), registryEv(4, HowFull),
		censusEv(4, entrySize, 1), pad(selectEv(2)), registryEv(4, HowFull),
		pad(selectEv(1)), knockEv(1, 5), pad(selectEv(2)), knockEv(2, 5)))
	want := map[uint32]uint32{1: 21, 2: 31}
	sends := 0
	for _, a := range got {
		if a.u8(0) == AcAssign {
			sends++
			if a.u32(9) != want[a.instance] {
				t.Errorf("instance %d sent to %d, its list holds only %d", a.instance, a.u32(9), want[a.instance])
			}
		}
	}
	if sends != 2 {
		t.Errorf("%d sends, want 2", sends)
	}
}

func TestKillAndLaunchInOneBatch(t *testing.T) {
	h := running(t, 1)
	text := infoJSON(t)
	tail := slices.Concat([]byte(text), entry(41, 0))
	answer(t, h, frame(2, 2_000_000, nil, pad(selectEv(1)), knockEv(1, 5)))
	got := answer(t, h, frame(3, 3_000_000, tail, pad(selectEv(1)), pad([]byte{EvDestroy}),
		launchEv(99, len(text)), censusEv(0, len(text), 1), registryEv(0, HowCached), knockEv(2, 5)))
	for _, a := range got {
		if a.u8(0) == AcAssign && a.u32(9) != 41 {
			t.Errorf("sent to %d: the old life's list outlived the kill", a.u32(9))
		}
	}
	if n := len(got); n < 2 {
		t.Errorf("%d actions, want a timer and a send", n)
	}
}

func TestBrokenInputEndsWithAnErrorAndNoPanic(t *testing.T) {
	good := startFrame(t, 1)
	sel := pad(selectEv(1))
	for name, data := range map[string][]byte{
		"header cut":            good[:7],
		"body cut":              good[:len(good)-1],
		"count over the length": unhex(t, "01000000 02000000 38000000 0000000000000000"),
		"length too large":      unhex(t, "01000000 00000000 ffffffff 0000000000000000"),
		"clock out of range":    unhex(t, "01000000 00000000 00000000 ffffffffffffffff"),
		"unknown event":         append(slices.Clone(good), frame(2, 0, nil, sel, pad([]byte{99}))...),
		"no Select":             frame(1, 0, nil, pad([]byte{EvDestroy})),
		"not running":           frame(1, 0, nil, sel, knockEv(1, 1)),
		"tail span":             frame(1, 0, nil, sel, launchEv(1, 1)),
		"entries span":          frame(1, 0, nil, censusEv(0, 1<<31, 1<<31)),
		"list number":           frame(1, 0, nil, censusEv(16, 0, 0)),
		"list never given":      append(slices.Clone(good), frame(2, 0, nil, sel, registryEv(7, HowFull))...),
		"list kind":             append(slices.Clone(good), frame(2, 0, nil, sel, registryEv(0, 9))...),
		"replica state":         frame(1, 0, entry(1, 3), censusEv(0, 0, 1)),
		"result":                append(slices.Clone(good), frame(2, 0, nil, sel, verdictEv(1, 0, 11, 5, 0))...),
		"settings":              frame(1, 0, []byte("{"), sel, launchEv(1, 1)),
		"settings empty":        frame(1, 0, []byte("{}"), sel, launchEv(1, 2)),
	} {
		err := NewHost().Run(bytes.NewReader(data), &bytes.Buffer{})
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one plain line", name, err)
		}
	}
}

func TestSettings(t *testing.T) {
	s, err := ParseSettings([]byte(infoJSON(t)))
	if err != nil {
		t.Fatal(err)
	}
	if s.Zone != 2 || s.Zones != 3 || s.Routers != 1 || !s.NeedsWatch || s.WeightMeaning != policy.WeightSize ||
		s.WatchWithin != 10*time.Second || s.SlowStartInitial != 0.17 || s.SlowStart != 23*time.Second || s.DrainGrace != 500*time.Millisecond {
		t.Errorf("settings %+v", s)
	}
	c := s.Classes[1]
	if c.Name != "resumen-lote" || c.TargetLatency != 3*time.Second || c.TargetLatencyPerKTokens != 30*time.Millisecond ||
		c.Deadline != 10*time.Second || c.Effect != policy.EffectSafe || c.Value != 3 || !c.IsStreaming {
		t.Errorf("class %+v", c)
	}
	if l := s.Limits; !l.CanCancel || !l.CanProbe || !l.SendsRetryAfter || l.MaxAttempts != 5 || l.MaxRetryAfter != 2*time.Second {
		t.Errorf("limits %+v", l)
	}
	if len(s.Tenants) != 2 || s.Tenants[1].Share != 0.5 {
		t.Errorf("tenants %+v", s.Tenants)
	}
	for old, bad := range map[string]string{
		`"discovery": "subscribe"`: `"discovery": "sometimes"`,
		`"effect": "pure"`:         `"effect": "odd"`,
		`"weights": "nominal"`:     `"weights": "odd"`,
		`"columns": []`:            `"columns": ["x0","x0","x0","x0","x0"]`,
	} {
		text := strings.Replace(infoJSON(t), old, bad, 1)
		if _, err := ParseSettings([]byte(text)); err == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
	text := strings.Replace(infoJSON(t), `"columns": []`, `"columns": ["tps", "novel", "concurrent"]`, 1)
	if s, err = ParseSettings([]byte(text)); err != nil || !slices.Equal(s.ReportColumns, []string{"qps", "", "inflight"}) {
		t.Errorf("columns %q, %v", s.ReportColumns, err)
	}
}

// story is a run of batches for the given instances: requests, failures, a restart, timers.
func story(t testing.TB, instances ...uint32) [][]byte {
	frames := [][]byte{startFrame(t, instances...)}
	for n := range 60 {
		var events [][]byte
		for _, i := range instances {
			rid := uint64(n*100) + uint64(i)
			events = append(events, pad(selectEv(i)), knockEv(rid, uint64(n%7+1)))
			if n > 0 {
				code := []uint16{100, 301, 302, 304, 305}[n%5]
				var ended uint8
				if code == 100 {
					ended = 1
				}
				events = append(events, verdictEv(rid-100, 0, 11+uint32(n)%3, code, ended))
			}
		}
		frames = append(frames, frame(uint32(n+2), uint64(n+2)*200_000, nil, events...))
	}
	return frames
}

func play(t testing.TB, frames [][]byte) []string {
	var lines []string
	h := NewHost()
	for n, f := range frames {
		for _, a := range answer(t, h, f) {
			fields := a.record
			if a.u8(0) == AcDebug {
				fields = []byte{AcDebug}
			}
			lines = append(lines, fmt.Sprintf("%03d %d %x", n, a.instance, []byte(fields)))
		}
	}
	slices.Sort(lines)
	return lines
}

func TestSameEventsGiveSameActionsInOneHostAndInTwo(t *testing.T) {
	first := play(t, story(t, 1, 2, 3))
	if len(first) < 200 {
		t.Fatalf("only %d actions", len(first))
	}
	if again := play(t, story(t, 1, 2, 3)); !slices.Equal(first, again) {
		t.Error("the same batches gave other actions")
	}
	split := append(play(t, story(t, 1, 3)), play(t, story(t, 2))...)
	slices.Sort(split)
	if !slices.Equal(first, split) {
		t.Error("two hosts gave other actions than one")
	}
}

func FuzzRun(f *testing.F) {
	for _, s := range story(f, 1)[:3] {
		f.Add(s)
	}
	f.Add(slices.Concat(story(f, 1, 2)[:4]...))
	f.Add(unhex(f, "01000000 02000000 38000000 0000000000000000"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var out bytes.Buffer
		err := NewHost().Run(bytes.NewReader(data), &out)
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("error of several lines: %q", err)
		}
		// Whatever came in, what went out is whole replies.
		for b := out.Bytes(); len(b) > 0; {
			if len(b) < replyHeader {
				t.Fatalf("a reply of %d bytes", len(b))
			}
			size, count := record(b).u32(4), record(b).u32(8)
			if int(size) > len(b)-replyHeader || count*actionSize > size {
				t.Fatalf("a reply of %d records says %d bytes, %d are there", count, size, len(b)-replyHeader)
			}
			b = b[replyHeader+int(size):]
		}
	})
}
