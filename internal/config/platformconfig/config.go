package platformconfig

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"notchhinge/internal/limits"
	"notchhinge/internal/listwatch"
	"notchhinge/internal/simadapter"
	"notchhinge/policy"
)

// Config is a checked configuration.
type Config struct {
	RouterName       string         // in logs and traces
	ListenAddr       string         // host and port for clients
	DiscoveryAddr    string         // host and port of the platform's endpoint list
	AdminAddr        string         // host and port for operators; "" = none
	SharedDir        string         // directory that a successor process shares, for a hot restart; "" = no hot restart
	Seed             uint64         // of the decision module's random numbers
	InitialEndpoints listwatch.List // the endpoint list until discovery answers
	Module
	Limits limits.Limits
}

// Module is what the platform's settings say for one decision module.
type Module struct {
	Settings               policy.Settings
	LoadReportColumns      []string        // names of the values in a load report, in their order; none = no load reports
	ZoneNames              []string        // by zone number
	LoadReportsInResponses bool            // any response may carry a load report
	TokenLatencyTargets    []time.Duration // by class: mean time between tokens; may have fewer entries than there are classes
}

// LoadModule reads the settings of a further module from a file that has the form of "settings" in the platform's file.
func LoadModule(path string, seed uint64) (Module, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Module{}, err
	}
	m, _, err := parseModule(text, seed)
	if err != nil {
		return Module{}, fmt.Errorf("%s: %w", path, err)
	}
	return m, nil
}

// routerSettings are the keys of "settings" that the decision module does not use. Times are in microseconds.
type routerSettings struct {
	AZs    []string `json:"azs"` // zone names by number
	Limits struct {
		ConnectTimeout float64 `json:"connectTimeout"` // of a connection to an engine
		IdleClose      float64 `json:"idleClose"`      // after which engines close an idle connection
		MaxOpen        int     `json:"maxOpen"`        // requests in flight
	} `json:"limits"`
	Report struct {
		Columns []string `json:"columns"`
		How     string   `json:"how"` // reportInResponses, or load reports are requested
	} `json:"report"`
	FamilyInfo struct {
		TokenAim []float64 `json:"tokenAim"` // by class
	} `json:"familyInfo"`
}

// reportInResponses is the value of "report.how" if responses carry load reports.
const reportInResponses = "piggyback"

func parseModule(text []byte, seed uint64) (m Module, r routerSettings, err error) {
	if m.Settings, err = simadapter.ParseSettings(text); err != nil {
		return m, r, err
	}
	if _, err := policy.New(m.Settings, seed); err != nil { // the module checks its settings itself
		return m, r, err
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return m, r, fmt.Errorf("settings: %w", err)
	}
	for _, us := range r.FamilyInfo.TokenAim {
		m.TokenLatencyTargets = append(m.TokenLatencyTargets, microseconds(us))
	}
	m.LoadReportColumns, m.ZoneNames = r.Report.Columns, r.AZs
	m.LoadReportsInResponses = r.Report.How == reportInResponses
	return m, r, nil
}

func microseconds(us float64) time.Duration { return time.Duration(us * float64(time.Microsecond)) }
