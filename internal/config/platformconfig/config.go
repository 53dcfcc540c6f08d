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

// Config is a checked configuration of a router.
type Config struct {
	RouterName       string         // appears in logs and traces
	ListenAddr       string         // host and port on which clients connect
	DiscoveryAddr    string         // host and port of the platform's endpoint list
	AdminAddr        string         // host and port of the admin listener; "" = none
	SharedDir        string         // directory that a successor process shares, for a hot restart; "" = no hot restart
	Seed             uint64         // seeds the decision module's random number generator
	InitialEndpoints listwatch.List // endpoint list until the first one from discovery
	Module
	Limits limits.Limits
}

// Module holds the platform's settings for one decision module.
type Module struct {
	Settings               policy.Settings
	LoadReportColumns      []string        // names of the values of a load report, in order; empty = no load reports
	ZoneNames              []string        // indexed by zone number
	LoadReportsInResponses bool            // responses may carry load reports
	TokenLatencyTargets    []time.Duration // mean time between tokens, indexed by class; may be shorter than the list of classes
}

// LoadModule reads the settings of another decision module from a file in the format of "settings" in the platform's file.
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
	AZs    []string `json:"azs"` // zone names, indexed by zone number
	Limits struct {
		ConnectTimeout float64 `json:"connectTimeout"` // bounds the time to connect to an engine
		IdleClose      float64 `json:"idleClose"`      // idle time after which engines close a connection
		MaxOpen        int     `json:"maxOpen"`        // maximum number of requests in flight
	} `json:"limits"`
	Report struct {
		Columns []string `json:"columns"`
		How     string   `json:"how"` // reportInResponses; with any other value load reports are polled
	} `json:"report"`
	FamilyInfo struct {
		TokenAim []float64 `json:"tokenAim"` // mean time between tokens, indexed by class
	} `json:"familyInfo"`
}

// reportInResponses is the value of "report.how" for load reports that are carried in responses.
const reportInResponses = "piggyback"

func parseModule(text []byte, seed uint64) (m Module, r routerSettings, err error) {
	if m.Settings, err = simadapter.ParseSettings(text); err != nil {
		return m, r, err
	}
	if _, err := policy.New(m.Settings, seed); err != nil { // New checks the settings
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
