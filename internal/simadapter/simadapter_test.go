package simadapter

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

func decodeHex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// padded returns a record of the given size in bytes: the bytes of the hexadecimal text, followed by zeros.
func padded(t testing.TB, size int, text string) []byte {
	b := decodeHex(t, text)
	return append(b, make([]byte, size-len(b))...)
}

// encodeBatch returns an encoded batch.
func encodeBatch(number uint32, clock uint64, tail []byte, events ...[]byte) []byte {
	body := append(slices.Concat(events...), tail...)
	b := binary.LittleEndian.AppendUint32(nil, number)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(events)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint64(b, clock)
	return append(b, body...)
}

func settingsText(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile("testdata/info.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func selectEvent(instance uint32) []byte {
	return binary.LittleEndian.AppendUint32([]byte{eventSelectInstance}, instance)
}

func padEvent(b []byte) []byte { return append(b, make([]byte, eventSize-len(b))...) }

func startEvent(seed uint64, length int) []byte {
	b := binary.LittleEndian.AppendUint64([]byte{eventStartInstance}, seed)
	b = binary.LittleEndian.AppendUint32(b, 0) // the offset
	return padEvent(binary.LittleEndian.AppendUint32(b, uint32(length)))
}

func listEntriesEvent(number uint16, offset, entries int) []byte {
	b := binary.LittleEndian.AppendUint16([]byte{eventListEntries}, number)
	b = binary.LittleEndian.AppendUint32(b, uint32(offset))
	return padEvent(binary.LittleEndian.AppendUint32(b, uint32(entries)))
}

func listEvent(number uint16, kind uint8) []byte {
	b := binary.LittleEndian.AppendUint64([]byte{eventList}, 1)
	b = binary.LittleEndian.AppendUint16(b, number)
	return padEvent(append(b, kind))
}

func listEntryBytes(id uint32, state uint8) []byte {
	b := binary.LittleEndian.AppendUint32(nil, id)
	b = append(b, 0, 0, 0, 0, 0, state)
	b = binary.LittleEndian.AppendUint32(b, math.Float32bits(1))
	return binary.LittleEndian.AppendUint64(b, 0)
}

func requestEvent(id, session uint64) []byte {
	b := binary.LittleEndian.AppendUint64([]byte{eventRequest}, id)
	b = append(b, 0, 0, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint64(b, session)
	return padEvent(binary.LittleEndian.AppendUint32(b, 3_000_000))
}

func attemptFinishedEvent(id uint64, attempt uint8, replica uint32, result uint16, ended uint8) []byte {
	b := binary.LittleEndian.AppendUint64([]byte{eventAttemptFinished}, id)
	b = append(b, attempt)
	b = binary.LittleEndian.AppendUint32(b, replica)
	b = binary.LittleEndian.AppendUint16(b, result)
	b = binary.LittleEndian.AppendUint32(b, 1000)
	return padEvent(append(b, ended))
}

// action is one decoded record of a reply.
type action struct {
	instance uint32
	record
	tail []byte
}

func decodeReply(t testing.TB, p *reply) []action {
	t.Helper()
	var out []action
	var instance uint32
	for at := 0; at < len(p.records); at += actionSize {
		r := record(p.records[at : at+actionSize])
		if r[0] == actionSelectInstance {
			instance = r.u32(1)
			continue
		}
		out = append(out, action{instance, r, p.tail})
	}
	return out
}

func handleFrame(t testing.TB, a *Adapter, data []byte) []action {
	t.Helper()
	b, _, err := readBatch(bytes.NewReader(data), nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := a.handleBatch(b); err != nil {
		t.Fatal(err)
	}
	return decodeReply(t, &a.reply)
}

// newRunningAdapter returns an adapter with the given instances, each of which has a list of three replicas.
func newRunningAdapter(t testing.TB, instances ...uint32) *Adapter {
	t.Helper()
	adapter := New()
	handleFrame(t, adapter, startFrame(t, instances...))
	return adapter
}

func startFrame(t testing.TB, instances ...uint32) []byte {
	text := settingsText(t)
	tail := slices.Concat([]byte(text), listEntryBytes(11, 0), listEntryBytes(12, 0), listEntryBytes(13, 0))
	events := [][]byte{listEntriesEvent(0, len(text), 3)}
	for _, i := range instances {
		events = append(events, padEvent(selectEvent(i)), startEvent(uint64(i)+5, len(text)), listEvent(0, listCached))
	}
	return encodeBatch(1, 1_000_000, tail, events...)
}

// The byte examples in this file are those of the platform's page on the format.
func TestEmptyBatchIsAnsweredAsInTheFormatsExamples(t *testing.T) {
	empty := decodeHex(t, "01000000 00000000 00000000 5a5c800000000000")
	b, _, err := readBatch(bytes.NewReader(empty), nil)
	if err != nil || b.number != 1 || b.clockMicros != 0x805c5a || len(b.events) != 0 {
		t.Fatalf("empty batch: %+v, %v", b, err)
	}
	var out bytes.Buffer
	if err := New().Run(bytes.NewReader(empty), &out); err != nil {
		t.Fatal(err)
	}
	if want := decodeHex(t, "01000000 00000000 00000000"); !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply %x, want %x", out.Bytes(), want)
	}
}

func TestBatchIsDecodedAsInTheFormatsExamples(t *testing.T) {
	two := slices.Concat(decodeHex(t, "0c000000 05000000 18010000 5a5c800000000000"),
		padded(t, eventSize, "05 03000000"),
		padded(t, eventSize, `0c c4913a5ddf780a00 0000 00000000 640ad2557c3bf091 80a90300 e02e0000
			107cf3d901648e2b 0000e144 00009644 00008043 0100`),
		padded(t, eventSize, "07 4d00000000000000"),
		padded(t, eventSize, "05 05000000"),
		padded(t, eventSize, "01 192b6f0e2b010a00"))
	b, _, err := readBatch(bytes.NewReader(two), nil)
	if err != nil || b.number != 12 || len(b.events) != 5*eventSize || len(b.tail) != 0 {
		t.Fatalf("batch of two instances: %+v, %v", b, err)
	}
	request := record(b.events[eventSize : 2*eventSize])
	if request.u64(1) != 0xa78df5d3a91c4 || request.u32(23) != 240_000 || request.u32(27) != 12_000 ||
		request.f32(39) != 1800 || request.f32(43) != 1200 || request.f32(47) != 256 || request.u16(51) != 1 {
		t.Errorf("fields of the request: % x", request)
	}
}

func TestReplyIsEncodedAsInTheFormatsExamples(t *testing.T) {
	var p reply
	p.selectInstance(3)
	p.startAttempt(0xa78df5d3a91c4, 0x03124a07, 80_000)
	p.setTimer(500_000, 0x4d)
	p.selectInstance(5)
	p.log("two servers known")
	var out bytes.Buffer
	if err := p.writeTo(&out, 12); err != nil {
		t.Fatal(err)
	}
	want := slices.Concat(decodeHex(t, "0c000000 89000000 05000000"),
		padded(t, actionSize, "0c 03000000"),
		padded(t, actionSize, "0a c4913a5ddf780a00 074a1203 80380100"),
		padded(t, actionSize, "09 20a10700 4d00000000000000"),
		padded(t, actionSize, "0c 05000000"),
		padded(t, actionSize, "04 00000000 11000000"),
		decodeHex(t, "74776f2073657276657273206b6e6f776e"))
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply\n%x, want\n%x", out.Bytes(), want)
	}
}

func TestActionsAreEncodedAsInTheFormatsExamples(t *testing.T) {
	for _, tc := range []struct {
		name, want, tail string
		do               func(p *reply)
	}{
		{"Disconnect", "0d f211902c", "", func(p *reply) { p.closeIdle(0x2c9011f2) }},
		{"Listen", "0e 01", "", func(p *reply) { p.setWatch(true) }},
		{"Listen off", "0e 00", "", func(p *reply) { p.setWatch(false) }},
		{"Notify", "01 ffffffff 00000000 04000000", "hi 7", func(p *reply) { p.sendPeerMessage(math.MaxUint32, "hi 7") }},
		{"Move", "07 192b6f0e2b010a00", "", func(p *reply) { p.migrate(0xa012b0e6f2b19) }},
		{"EndFailed", "0b 192b6f0e2b010a00", "", func(p *reply) { p.failRequest(0xa012b0e6f2b19) }},
		{"ReadList", "02", "", func(p *reply) { p.fetchList() }},
		{"TurnAway", "08 192b6f0e2b010a00 90d00300", "", func(p *reply) { p.rejectRequest(0xa012b0e6f2b19, 250_000) }},
		{"Die", "05 00000000 12000000", "index out of range", func(p *reply) { p.abort("index out of range") }},
		{"CallOff", "03 c4913a5ddf780a00 00", "", func(p *reply) { p.cancelAttempt(0xa78df5d3a91c4, 0) }},
		{"Check", "06 f211902c", "", func(p *reply) { p.probe(0x2c9011f2) }},
	} {
		var p reply
		tc.do(&p)
		if want := padded(t, actionSize, tc.want); !bytes.Equal(p.records, want) || string(p.tail) != tc.tail {
			t.Errorf("%s: %x %q, want %x %q", tc.name, p.records, p.tail, want, tc.tail)
		}
	}
}

func TestEventsOfTheFormatsExamplesReachTheBalancer(t *testing.T) {
	adapter := newRunningAdapter(t, 3)
	tail := decodeHex(t, "074a1203 0000 00 0000 00 0000803f 0000000000000000 f211902c 0100 00 0000 00 0000c03f 20145d0000000000")
	got := handleFrame(t, adapter, encodeBatch(2, 9_000_000, tail,
		padded(t, eventSize, "05 03000000"),
		padded(t, eventSize, "04 0000 00000000 02000000"),
		padded(t, eventSize, "02 2900000000000000 0000 03"),
		requestEvent(0xa78df5d3a91c4, 5)))
	if len(got) == 0 || got[0].u8(0) != actionStartAttempt || got[0].instance != 3 {
		t.Fatalf("actions %v, want an attempt of instance 3", got)
	}
	to := got[0].u32(9)
	if to != 0x03124a07 && to != 0x2c9011f2 {
		t.Fatalf("sent to %#x, which is not listed", to)
	}
	// All these events are valid, so none may end Run with an error.
	handleFrame(t, adapter, encodeBatch(3, 9_100_000, []byte("hi 7"),
		padded(t, eventSize, "05 03000000"),
		padded(t, eventSize, "06 c4913a5ddf780a00 00 074a1203 22240000"),
		padded(t, eventSize, "09 0200 00000000 04000000"),
		padded(t, eventSize, "08 f211902c 78050000 6400 00"),
		padded(t, eventSize, "03 c4913a5ddf780a00 00 074a1203 6400 44480000 01"),
		padded(t, eventSize, "01 192b6f0e2b010a00"),
		padded(t, eventSize, "07 4d00000000000000")))
}

func TestListNumberRefersToTheLatestEntries(t *testing.T) {
	adapter := newRunningAdapter(t, 1, 2)
	tail := slices.Concat(listEntryBytes(21, 0), listEntryBytes(31, 0))
	got := handleFrame(t, adapter, encodeBatch(2, 2_000_000, tail,
		listEntriesEvent(4, 0, 1), padEvent(selectEvent(1)), listEvent(4, listFull),
		listEntriesEvent(4, listEntrySize, 1), padEvent(selectEvent(2)), listEvent(4, listFull),
		padEvent(selectEvent(1)), requestEvent(1, 5), padEvent(selectEvent(2)), requestEvent(2, 5)))
	want := map[uint32]uint32{1: 21, 2: 31}
	sends := 0
	for _, a := range got {
		if a.u8(0) == actionStartAttempt {
			sends++
			if a.u32(9) != want[a.instance] {
				t.Errorf("instance %d sent to %d, which is not in its list, want %d", a.instance, a.u32(9), want[a.instance])
			}
		}
	}
	if sends != 2 {
		t.Errorf("%d sends, want 2", sends)
	}
}

func TestRestartWithinABatchDiscardsTheEarlierList(t *testing.T) {
	adapter := newRunningAdapter(t, 1)
	text := settingsText(t)
	tail := slices.Concat([]byte(text), listEntryBytes(41, 0))
	handleFrame(t, adapter, encodeBatch(2, 2_000_000, nil, padEvent(selectEvent(1)), requestEvent(1, 5)))
	got := handleFrame(t, adapter, encodeBatch(3, 3_000_000, tail, padEvent(selectEvent(1)), padEvent([]byte{eventStopInstance}),
		startEvent(99, len(text)), listEntriesEvent(0, len(text), 1), listEvent(0, listCached), requestEvent(2, 5)))
	for _, a := range got {
		if a.u8(0) == actionStartAttempt && a.u32(9) != 41 {
			t.Errorf("sent to %d, which only the list before the restart contains", a.u32(9))
		}
	}
	if n := len(got); n < 2 {
		t.Errorf("%d actions, want a timer and a send", n)
	}
}

func TestMalformedInputEndsWithAnErrorOfOneLine(t *testing.T) {
	good := startFrame(t, 1)
	sel := padEvent(selectEvent(1))
	for name, data := range map[string][]byte{
		"header cut":            good[:7],
		"body cut":              good[:len(good)-1],
		"count over the length": decodeHex(t, "01000000 02000000 38000000 0000000000000000"),
		"length too large":      decodeHex(t, "01000000 00000000 ffffffff 0000000000000000"),
		"clock out of range":    decodeHex(t, "01000000 00000000 00000000 ffffffffffffffff"),
		"unknown event":         append(slices.Clone(good), encodeBatch(2, 0, nil, sel, padEvent([]byte{99}))...),
		"no Select":             encodeBatch(1, 0, nil, padEvent([]byte{eventStopInstance})),
		"not running":           encodeBatch(1, 0, nil, sel, requestEvent(1, 1)),
		"tail span":             encodeBatch(1, 0, nil, sel, startEvent(1, 1)),
		"entries span":          encodeBatch(1, 0, nil, listEntriesEvent(0, 1<<31, 1<<31)),
		"list number":           encodeBatch(1, 0, nil, listEntriesEvent(16, 0, 0)),
		"list never given":      append(slices.Clone(good), encodeBatch(2, 0, nil, sel, listEvent(7, listFull))...),
		"list kind":             append(slices.Clone(good), encodeBatch(2, 0, nil, sel, listEvent(0, 9))...),
		"replica state":         encodeBatch(1, 0, listEntryBytes(1, 3), listEntriesEvent(0, 0, 1)),
		"result":                append(slices.Clone(good), encodeBatch(2, 0, nil, sel, attemptFinishedEvent(1, 0, 11, 5, 0))...),
		"settings":              encodeBatch(1, 0, []byte("{"), sel, startEvent(1, 1)),
		"settings empty":        encodeBatch(1, 0, []byte("{}"), sel, startEvent(1, 2)),
	} {
		err := New().Run(bytes.NewReader(data), &bytes.Buffer{})
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want an error of one line", name, err)
		}
	}
}

func TestParseSettings(t *testing.T) {
	got, err := ParseSettings([]byte(settingsText(t)))
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Classes) < 2 || len(got.Tenants) != 2 {
		t.Fatalf("%d classes and %d tenants in %+v", len(got.Classes), len(got.Tenants), got)
	}
	class := got.Classes[1]
	for _, tc := range []struct {
		name      string
		got, want any
	}{
		{"Zone", got.Zone, 2},
		{"Zones", got.Zones, 3},
		{"Routers", got.Routers, 1},
		{"NeedsWatch", got.NeedsWatch, true},
		{"WeightMeaning", got.WeightMeaning, policy.WeightSize},
		{"MaxWatchDelay", got.MaxWatchDelay, 10 * time.Second},
		{"SlowStartInitial", got.SlowStartInitial, 0.17},
		{"SlowStart", got.SlowStart, 23 * time.Second},
		{"DrainGrace", got.DrainGrace, 500 * time.Millisecond},
		{"Name", class.Name, "resumen-lote"},
		{"TargetLatency", class.TargetLatency, 3 * time.Second},
		{"TargetLatencyPerKTokens", class.TargetLatencyPerKTokens, 30 * time.Millisecond},
		{"Deadline", class.Deadline, 10 * time.Second},
		{"Effect", class.Effect, policy.EffectSafe},
		{"Value", class.Value, 3.0},
		{"IsStreaming", class.IsStreaming, true},
		{"CanCancel", got.Limits.CanCancel, true},
		{"CanProbe", got.Limits.CanProbe, true},
		{"SendsRetryAfter", got.Limits.SendsRetryAfter, true},
		{"MaxAttempts", got.Limits.MaxAttempts, 5},
		{"MaxRetryAfter", got.Limits.MaxRetryAfter, 2 * time.Second},
		{"Share", got.Tenants[1].Share, 0.5},
	} {
		if tc.got != tc.want {
			t.Errorf("%s = %v (%T), want %v (%T)", tc.name, tc.got, tc.got, tc.want, tc.want)
		}
	}
}

func TestSettingsWithUnknownNamesAreRejected(t *testing.T) {
	for good, bad := range map[string]string{
		`"discovery": "subscribe"`: `"discovery": "sometimes"`,
		`"effect": "pure"`:         `"effect": "odd"`,
		`"weights": "nominal"`:     `"weights": "odd"`,
		`"columns": []`:            `"columns": ["x0","x0","x0","x0","x0"]`,
	} {
		text := strings.Replace(settingsText(t), good, bad, 1)
		if _, err := ParseSettings([]byte(text)); err == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
}

func TestUnknownReportColumnKeepsItsPositionWithoutAName(t *testing.T) {
	text := strings.Replace(settingsText(t), `"columns": []`, `"columns": ["tps", "novel", "concurrent"]`, 1)
	s, err := ParseSettings([]byte(text))
	if err != nil || !slices.Equal(s.ReportColumns, []string{"qps", "", "inflight"}) {
		t.Errorf("columns %q, %v", s.ReportColumns, err)
	}
}

// scenarioFrames returns a sequence of encoded batches with requests and finished attempts of the given instances.
func scenarioFrames(t testing.TB, instances ...uint32) [][]byte {
	frames := [][]byte{startFrame(t, instances...)}
	for n := range 60 {
		var events [][]byte
		for _, i := range instances {
			id := uint64(n*100) + uint64(i)
			events = append(events, padEvent(selectEvent(i)), requestEvent(id, uint64(n%7+1)))
			if n > 0 {
				code := []uint16{100, 301, 302, 304, 305}[n%5]
				var ended uint8
				if code == 100 {
					ended = 1
				}
				events = append(events, attemptFinishedEvent(id-100, 0, 11+uint32(n)%3, code, ended))
			}
		}
		frames = append(frames, encodeBatch(uint32(n+2), uint64(n+2)*200_000, nil, events...))
	}
	return frames
}

func runFrames(t testing.TB, frames [][]byte) []string {
	var lines []string
	adapter := New()
	for n, f := range frames {
		for _, a := range handleFrame(t, adapter, f) {
			fields := a.record
			if a.u8(0) == actionLog {
				fields = []byte{actionLog}
			}
			lines = append(lines, fmt.Sprintf("%03d %d %x", n, a.instance, []byte(fields)))
		}
	}
	slices.Sort(lines)
	return lines
}

func TestActionsDoNotDependOnOtherInstances(t *testing.T) {
	first := runFrames(t, scenarioFrames(t, 1, 2, 3))
	if len(first) < 200 {
		t.Fatalf("only %d actions", len(first))
	}
	if again := runFrames(t, scenarioFrames(t, 1, 2, 3)); !slices.Equal(first, again) {
		t.Error("the same batches produced different actions")
	}
	split := append(runFrames(t, scenarioFrames(t, 1, 3)), runFrames(t, scenarioFrames(t, 2))...)
	slices.Sort(split)
	if !slices.Equal(first, split) {
		t.Error("two adapters produced different actions than one")
	}
}

func FuzzRun(f *testing.F) {
	for _, s := range scenarioFrames(f, 1)[:3] {
		f.Add(s)
	}
	f.Add(slices.Concat(scenarioFrames(f, 1, 2)[:4]...))
	f.Add(decodeHex(f, "01000000 02000000 38000000 0000000000000000"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var out bytes.Buffer
		err := New().Run(bytes.NewReader(data), &out)
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("error has several lines: %q", err)
		}
		// Whatever the input, the output consists of complete replies.
		for b := out.Bytes(); len(b) > 0; {
			if len(b) < replyHeaderSize {
				t.Fatalf("reply of %d bytes is shorter than a header", len(b))
			}
			size, count := record(b).u32(4), record(b).u32(8)
			if int(size) > len(b)-replyHeaderSize || count*actionSize > size {
				t.Fatalf("reply of %d records declares %d bytes, but has %d", count, size, len(b)-replyHeaderSize)
			}
			b = b[replyHeaderSize+int(size):]
		}
	})
}
