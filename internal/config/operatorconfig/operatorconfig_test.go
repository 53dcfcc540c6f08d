package operatorconfig

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/config/tomlfile"
)

func TestParseSetsDefaultsAndResolvesPaths(t *testing.T) {
	f, err := Parse([]byte("[trace]\n[trace.file]\npath = \"t.zst\"\n"), "/etc/n/n.toml", nil)
	if err != nil {
		t.Fatal(err)
	}
	trace := f.Trace
	if *trace.SampleRatio != 0.01 || *trace.MaxSamplesPerS != 10 || time.Duration(*trace.LatencyMargin) != 20*time.Millisecond ||
		trace.File.Path != "/etc/n/t.zst" || trace.File.MaxFiles != 4 || trace.OTLP != nil || f.Batch != nil {
		t.Errorf("want the defaults and no batch service: %+v", trace)
	}
	if f, err := Parse([]byte("[trace]\nshare = 0\nper_second = 0\nmargin = \"0s\"\n"), "x", nil); err != nil || *f.Trace.SampleRatio != 0 || *f.Trace.MaxSamplesPerS != 0 {
		t.Errorf("explicit zeros: %+v, %v", f, err)
	}
	if _, err := Load("../../../deploy/notchhinge.toml", []string{"batch-summary"}); err != nil {
		t.Error(err)
	}
}

func TestEveryErrorIsReportedWithItsLine(t *testing.T) {
	const contract = "classes = [\"x\"]\nlines = 1\nat_once = 1\nbudget_tokens = 1\nbudget_period = \"1h\"\nline_deadline = \"1m\"\nkey_env = \"K\"\n"
	for name, c := range map[string]struct {
		text string
		want []string // prefixes of the errors
	}{
		"all at once": {
			"[trace]\nshare = 2.0\nshar = 1\n\n[trace.otlp]\nendpoint = \"ftp://x\"\n",
			[]string{"f:2: trace.share: ", "f:3: trace.shar: unknown key", "f:6: trace.otlp.endpoint: "},
		},
		"inline":                       {"trace = {share = 0.5,\n margn = \"1s\"}\n", []string{"f:2: trace.margn: unknown key"}},
		"missing":                      {"[trace.otlp]\n", []string{"f:1: trace.otlp: missing property 'endpoint'"}},
		"invalid duration":             {"[trace]\nmargin = \"soon\"\n", []string{"f:2: trace.margin: "}},
		"negative duration":            {"[trace]\nmargin = \"-1s\"\n", []string{"f:2: trace.margin: must be from 0 to 1m0s"}},
		"wrong type":                   {"[trace]\nshare = \"all\"\n", []string{"f:2: trace.share: got string, want number; expected: share of ordinary"}},
		"syntax":                       {"[trace]\nshare = \n", []string{"f:2: "}},
		"twice":                        {"[trace]\nshare = 1.0\nshare = 1.0\n", []string{"f:3: "}},
		"address that is not loopback": {"[batch]\nlisten = \"0.0.0.0:80\"\nspool = \"s\"\n", []string{"f:1: batch: needs at least one", "f:2: batch.listen: \"0.0.0.0:80\" is not a loopback"}},
		"unknown class":                {"[[contract]]\nteam = \"a\"\n" + contract, []string{"f:3: contract[0].classes: unknown class \"x\""}},
		"duplicate team":               {"[[contract]]\nteam = \"a\"\n" + strings.Replace(contract, "x", "chat", 1) + "[[contract]]\nteam = \"a\"\n" + strings.Replace(contract, "x", "chat", 1), []string{"f:11: contract[1].team: team \"a\" has another"}},
		"unknown table":                {"[nothing]\n", []string{"f:1: nothing: unknown key"}},
	} {
		_, err := Parse([]byte(c.text), "f", []string{"chat"})
		var errs tomlfile.Errors
		if !errors.As(err, &errs) {
			t.Errorf("%s: got %v, want an error of type tomlfile.Errors", name, err)
			continue
		}
		var got []string
		for i, f := range errs {
			s := f.Error()
			if i < len(c.want) && strings.HasPrefix(s, c.want[i]) {
				s = c.want[i]
			}
			got = append(got, s)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[trace]\nshare = 0.5\n[trace.file]\npath = \"x\"\n[[contract]]\nteam = \"a\"\n"))
	f.Add([]byte("trace = {share = {a = 1}}\na.b.c = [1, {d = 2}]\n[[contract.x]]\n[contract.x.y]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse(text, "f", []string{"chat"})
		if (file == nil) == (err == nil) {
			t.Errorf("file %v with error %v, want exactly one of them", file, err)
		}
		var errs tomlfile.Errors
		if errors.As(err, &errs) {
			for _, x := range errs {
				if x.Line < 0 || x.Line > 1+strings.Count(string(text), "\n") || x.Message == "" {
					t.Errorf("error without a message, or with a line outside the file: %+v", x)
				}
			}
		}
	})
}

func TestServicesAndPoolsAreChecked(t *testing.T) {
	const head = "[[service]]\nname = \"s\"\npool = \"p\"\n[[service.route]]\nhost = \"a.b\"\n[[service.route]]\nprefix = \"/x\"\nmethod = \"any\"\n"
	f, err := Parse([]byte(head+"[[pool]]\nname = \"p\"\nsettings = \"s.json\"\n[control]\npath = \"c\"\n"), "/etc/n/n.toml", nil)
	if err != nil {
		t.Fatal(err)
	}
	if r := f.Services[0].Routes; r[0].Method != "POST" || r[1].Method != "any" || f.Pools[0].SettingsPath != "/etc/n/s.json" || f.Control.SocketPath != "/etc/n/c" {
		t.Errorf("methods or paths differ: %+v", f)
	}
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"unknown pool": {head, []string{`f:3: service[0].pool: there is no pool "p"`}},
		"unused pool":  {head + "[[pool]]\nname = \"p\"\n[[pool]]\nname = \"q\"\n", []string{`f:12: pool[1].name: no service uses pool "q"`}},
		"twice":        {head + "[[pool]]\nname = \"p\"\n[[pool]]\nname = \"p\"\n", []string{`f:12: pool[1].name: another pool has the name "p"`}},
		"only pools":   {"[[pool]]\nname = \"p\"\n", []string{"f:1: pool[0]: at least one [[service]] must use the pools"}},
		"ambiguous routes": {
			head + "[[service.route]]\nhost = \"A.B.\"\n[[pool]]\nname = \"p\"\n",
			[]string{"f:9: service[0].route[2]: could match what route 0 matches"},
		},
		"route of the second service": {
			head + "[[service]]\nname = \"t\"\npool = \"p\"\n[[service.route]]\npath = \"/a\"\n[[service.route]]\npath = \"/a//b\"\n[[pool]]\nname = \"p\"\n",
			[]string{"f:15: service[1].route[1].path: \"/a//b\": the path can be read in two ways"},
		},
		"unknown key in a split": {
			"[[service]]\nname = \"s\"\nsplit = [{pool = \"p\", weight = 0},\n {pool = \"x\", weight = 1, heavy = 1}]\n[[service.route]]\n[[pool]]\nname = \"p\"\n",
			[]string{"f:4: service[0].split[1].heavy: unknown key"},
		},
		"both":       {"[[service]]\nname = \"s\"\npool = \"p\"\nsplit = [{pool = \"p\", weight = 1}]\n[[service.route]]\n[[pool]]\nname = \"p\"\n", []string{"f:4: service[0].split: a service has a pool or a split"}},
		"guarantees": {head + "[[pool]]\nname = \"p\"\nlimits = {guarantee = 0.7, most = 0.6}\n", []string{"f:11: pool[0].limits.guarantee: 0.7 is greater than the maximum share, 0.6"}},
		"patterns":   {head + "[[pool]]\nname = \"p\"\ndiscovery = \"x\"\n[pool.select]\nnames = [\"[\"]\n", []string{"f:11: pool[0].discovery: ", "f:13: pool[0].select.names: "}},
	} {
		_, err := Parse([]byte(c.text), "f", nil)
		var errs tomlfile.Errors
		if !errors.As(err, &errs) || len(errs) != len(c.want) {
			t.Errorf("%s: %v", name, err)
			continue
		}
		for i, want := range c.want {
			if got := errs[i].Error(); !strings.HasPrefix(got, want) {
				t.Errorf("%s: got %s, want the prefix %s", name, got, want)
			}
		}
	}
}
