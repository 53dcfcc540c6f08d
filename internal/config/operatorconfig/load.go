package operatorconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"notchhinge/deploy"
)

// Error is one thing that is wrong with a file.
type Error struct {
	File    string
	Line    int    // counted from 1; 0 = of the file as a whole
	Key     string // as trace.otlp.endpoint or contract[0].team; "" = none
	Message string // what is wrong and what is wanted
}

func (f Error) Error() string {
	s := f.File
	if f.Line > 0 {
		s += ":" + strconv.Itoa(f.Line)
	}
	if f.Key != "" {
		s += ": " + f.Key
	}
	return s + ": " + f.Message
}

// Errors is every fault of a file, in the order of its lines.
type Errors []Error

func (f Errors) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a file; relative paths in it then start from its folder. classes are the names that a
// contract may give. The error is Faults, or that of reading.
func Load(path string, classes []string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path, classes)
}

// Parse is Load on a text that is already read.
func Parse(text []byte, path string, classes []string) (*File, error) {
	from, faults, err := Check(text, path, deploy.Schema)
	if err != nil {
		return nil, err
	}
	fault := func(key []string, format string, args ...any) {
		faults = append(faults, from.Errorf(key, format, args...))
	}
	f := &File{Source: *from}
	if len(faults) == 0 {
		if err := toml.Unmarshal(text, f); err != nil { // what the schema cannot say: times
			d := (*toml.DecodeError)(nil)
			if !errors.As(err, &d) {
				return nil, Errors{{File: path, Message: err.Error()}}
			}
			fault(d.Key(), "%s; a time such as \"20ms\" or \"1h30m\" is wanted", d.Error())
		} else {
			f.fill()
			f.check(classes, fault)
		}
	}
	if len(faults) > 0 {
		return nil, faults.Sorted()
	}
	dir := filepath.Dir(path)
	under := func(p *string) {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
	if f.Trace != nil && f.Trace.File != nil {
		under(&f.Trace.File.Path)
	}
	if f.Batch != nil {
		under(&f.Batch.Spool)
	}
	for i := range f.Contracts {
		under(&f.Contracts[i].OpenAPI)
	}
	for i := range f.Pools {
		under(&f.Pools[i].SettingsPath)
	}
	if f.Control != nil {
		under(&f.Control.SocketPath)
	}
	return f, nil
}

// Check holds a text against a JSON Schema and returns where its keys stand, and every fault. An error is a text that
// is no TOML, as Faults, or one that cannot be checked.
func Check(text []byte, path string, schema []byte) (*Source, Errors, error) {
	lines, err := index(text)
	from := &Source{path, lines}
	faults := Errors{}
	var syntax *unstable.ParserError
	if errors.As(err, &syntax) {
		return nil, nil, Errors{{File: path, Line: lines.at(text, syntax.Highlight), Message: syntax.Message}}
	} else if err != nil {
		return nil, nil, Errors{{File: path, Message: err.Error()}}
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		f := Error{File: path, Message: err.Error()}
		if d := (*toml.DecodeError)(nil); errors.As(err, &d) {
			f.Line, _ = d.Position()
		}
		return nil, nil, Errors{f}
	}
	if err := meets(tree, schema, func(key []string, format string, args ...any) {
		faults = append(faults, from.Errorf(key, format, args...))
	}); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return from, faults, nil
}

// Errorf is a fault of a key, for what only a subsystem can tell.
func (s *Source) Errorf(key []string, format string, args ...any) Error {
	line, shown := s.lines.find(key)
	return Error{File: s.path, Line: line, Key: shown, Message: fmt.Sprintf(format, args...)}
}

// Sorted returns faults in the order of their lines.
func (f Errors) Sorted() Errors {
	slices.SortStableFunc(f, func(x, y Error) int { return x.Line - y.Line })
	return f
}

// meets holds a file against the schema and reports each fault.
func meets(tree map[string]any, schemaText []byte, fault func(key []string, format string, args ...any)) error {
	text, err := json.Marshal(tree)
	if err != nil {
		return err // a value that JSON does not have, such as inf
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return err
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return fmt.Errorf("the schema: %w", err)
	}
	const name = "notchhinge.schema.json"
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, doc); err != nil {
		return fmt.Errorf("the schema: %w", err)
	}
	schema, err := c.Compile(name)
	if err != nil {
		return fmt.Errorf("the schema: %w", err)
	}
	var wrong *jsonschema.ValidationError
	if err := schema.Validate(value); errors.As(err, &wrong) {
		english := message.NewPrinter(language.English)
		leaves(wrong, func(e *jsonschema.ValidationError) {
			if extra, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
				for _, p := range extra.Properties {
					fault(append(slices.Clone(e.InstanceLocation), p), "is no key of this file")
				}
				return
			}
			says := e.ErrorKind.LocalizedString(english)
			if want := describe(doc, e.InstanceLocation); want != "" {
				says += "; wanted: " + want
			}
			fault(e.InstanceLocation, "%s", says)
		})
	} else if err != nil {
		return err
	}
	return nil
}

func leaves(e *jsonschema.ValidationError, do func(*jsonschema.ValidationError)) {
	if len(e.Causes) == 0 {
		do(e)
	}
	for _, c := range e.Causes {
		leaves(c, do)
	}
}

// describe finds what the schema says of a key.
func describe(doc any, key []string) string {
	root, _ := doc.(map[string]any)
	defs, _ := root["$defs"].(map[string]any)
	at := root
	follow := func() {
		for {
			ref, ok := at["$ref"].(string)
			next, found := defs[strings.TrimPrefix(ref, "#/$defs/")].(map[string]any)
			if !ok || !found {
				return
			}
			at = next
		}
	}
	says := ""
	for _, k := range key {
		follow()
		if items, ok := at["items"].(map[string]any); ok {
			at = items
			continue
		}
		properties, _ := at["properties"].(map[string]any)
		next, ok := properties[k].(map[string]any)
		if !ok {
			return ""
		}
		at = next
		says, _ = at["description"].(string)
	}
	return says
}

// check reports what no schema can.
func (f *File) check(classes []string, fault func(key []string, format string, args ...any)) {
	positive := func(d *Duration, key ...string) {
		if d != nil && *d <= 0 {
			fault(key, "a time above 0 is wanted")
		}
	}
	if t := f.Trace; t != nil {
		if *t.LatencyMargin < 0 || *t.LatencyMargin > Duration(time.Minute) {
			fault([]string{"trace", "margin"}, "a time from 0 to 1m is wanted")
		}
		if o := t.OTLP; o != nil {
			if u, err := url.Parse(o.Endpoint); err != nil || u.Host == "" {
				fault([]string{"trace", "otlp", "endpoint"}, "a URL with a host is wanted")
			}
			positive(o.CallTimeout, "trace", "otlp", "timeout")
			positive(o.DrainTimeout, "trace", "otlp", "drain")
		}
		if s := t.File; s != nil {
			positive(s.FlushInterval, "trace", "file", "flush")
		}
	}
	if f.Batch != nil {
		host, _, err := net.SplitHostPort(f.Batch.Listen)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			fault([]string{"batch", "listen"}, "%q is no loopback address with a port", f.Batch.Listen)
		}
		if len(f.Contracts) == 0 {
			fault([]string{"batch"}, "needs one [[contract]] at least")
		}
	}
	f.checkServices(fault)
	teams := map[string]bool{}
	for i, k := range f.Contracts {
		at := []string{"contract", strconv.Itoa(i)}
		if teams[k.Team] {
			fault(append(at, "team"), "%q has another contract already", k.Team)
		}
		teams[k.Team] = true
		for _, c := range k.Classes {
			if classes != nil && len(f.Pools) == 0 && !slices.Contains(classes, c) {
				fault(append(at, "classes"), "class %q is unknown; there are %q", c, classes)
			}
		}
		positive(&k.BudgetPeriod, append(at, "budget_period")...)
		positive(&k.ItemDeadline, append(at, "line_deadline")...)
	}
}

// lineIndex tells in which line a key stands, by its path with / between.
type lineIndex map[string]int

// index finds the lines of a file's keys and tables.
func index(text []byte) (lineIndex, error) {
	lines := lineIndex{}
	arrays := map[string]int{} // tables so far of an array of them
	var p unstable.Parser
	p.Reset(text)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		var path []string
		if e.Kind == unstable.KeyValue {
			path = append(path, table...)
		}
		last := 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			path = append(path, string(n.Data))
			last = p.Shape(n.Raw).Start.Line
			if e.Kind == unstable.Table || e.Kind == unstable.ArrayTable && !it.IsLast() {
				if count, is := arrays[strings.Join(path, "/")]; is { // a table within the latest of an array
					path = append(path, strconv.Itoa(count-1))
				}
			}
		}
		at := strings.Join(path, "/")
		switch e.Kind {
		case unstable.ArrayTable:
			path = append(path, strconv.Itoa(arrays[at]))
			arrays[at]++
			at = strings.Join(path, "/")
			table = path
		case unstable.Table:
			table = path
		case unstable.KeyValue:
			lines.inline(&p, e.Value(), path)
		}
		if _, known := lines[at]; !known {
			lines[at] = last
		}
	}
	return lines, p.Error()
}

// inline notes the keys of inline tables, and of those in arrays.
func (l lineIndex) inline(p *unstable.Parser, v *unstable.Node, path []string) {
	if v != nil && v.Kind == unstable.Array {
		n := 0
		for it := v.Children(); it.Next(); n++ {
			l.inline(p, it.Node(), append(slices.Clone(path), strconv.Itoa(n)))
		}
		return
	}
	if v == nil || v.Kind != unstable.InlineTable {
		return
	}
	for it := v.Children(); it.Next(); {
		kv := it.Node()
		sub, line := slices.Clone(path), 0
		for k := kv.Key(); k.Next(); {
			sub = append(sub, string(k.Node().Data))
			line = p.Shape(k.Node().Raw).Start.Line
		}
		l[strings.Join(sub, "/")] = line
		l.inline(p, kv.Value(), sub)
	}
}

// find returns the line of a key, or of the nearest table around it, and the key as a reader writes it.
func (l lineIndex) find(key []string) (line int, shown string) {
	for n := len(key); n > 0 && line == 0; n-- {
		line = l[strings.Join(key[:n], "/")]
	}
	for _, k := range key {
		if _, err := strconv.Atoi(k); err == nil && shown != "" {
			shown += "[" + k + "]"
			continue
		}
		if shown != "" {
			shown += "."
		}
		shown += k
	}
	return line, shown
}

// at tells the line in which a part of the text stands.
func (l lineIndex) at(text, part []byte) int {
	if len(part) == 0 {
		return 0
	}
	offset := cap(text) - cap(part) // a part of the same array
	if offset < 0 || offset > len(text) {
		return 0
	}
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}
