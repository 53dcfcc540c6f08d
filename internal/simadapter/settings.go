package simadapter

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"notchhinge/policy"
)

// micros is a duration in microseconds, the unit of the settings object.
type micros float64

func (m micros) duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Microsecond))
}

// settingsJSON is the settings object of an eventStartInstance. Other keys are ignored.
type settingsJSON struct {
	AZs        []string `json:"azs"`
	Discovery  string   `json:"discovery"`
	FamilyInfo struct {
		AimPer1000 []micros `json:"aimUsPer1000PromptTokens"`
	} `json:"familyInfo"`
	Grades []struct {
		Name        string  `json:"name"`
		Objective   micros  `json:"objective"`
		Deadline    micros  `json:"deadline"`
		DedupWindow micros  `json:"dedupWindow"`
		Effect      string  `json:"effect"`
		Group       string  `json:"group"`
		LateWorth   float64 `json:"lateWorth"`
		Worth       float64 `json:"worth"`
		Streaming   bool    `json:"streaming"`
	} `json:"grades"`
	Limits struct {
		Cancel        bool   `json:"cancel"`
		Probes        bool   `json:"probes"`
		RetryAfter    bool   `json:"retryAfter"`
		MostTries     int    `json:"mostTries"`
		MaxRetryAfter micros `json:"maxRetryAfter"`
	} `json:"limits"`
	Me           int `json:"me"`
	ReplicasOfMe int `json:"replicasOfMe"`
	Prices       struct {
		CrossZone float64 `json:"crossZone"`
	} `json:"prices"`
	Realms []struct {
		Name  string  `json:"name"`
		Share float64 `json:"share"`
	} `json:"realms"`
	Report struct {
		Columns []string `json:"columns"`
		How     string   `json:"how"`
	} `json:"report"`
	Rules struct {
		AskWithin  micros  `json:"askWithin"`
		ColdFrom   float64 `json:"coldFrom"`
		WarmUp     micros  `json:"warmUp"`
		DrainGrace micros  `json:"drainGrace"`
	} `json:"rules"`
	Weights string `json:"weights"`
	Zone    int    `json:"zone"`
}

// The values and column names in the settings object and their meanings.
var (
	effects     = map[string]policy.Effect{"pure": policy.EffectSafe, "token": policy.EffectKeyed, "side_effect": policy.EffectUnsafe}
	dedupGroups = map[string]policy.DedupGroup{
		"": policy.GroupAll, "all": policy.GroupAll, "zone": policy.GroupZone,
		"cell": policy.GroupCell,
	}
	weightMeanings = map[string]policy.WeightMeaning{
		"": policy.WeightUnused, "silent": policy.WeightUnused,
		"nominal": policy.WeightSize, "rough": policy.WeightSize, "live": policy.WeightLive,
	}
	reportColumns = map[string]string{
		"concurrent": "inflight", "depth": "queue", "load_share": "util",
		"mean_ms": "latency_ms", "tps": "qps", "err_ps": "eps", "x0": "x0", "x1": "x1",
	}
)

// maxReportColumns is the maximum number of values in a load report.
const maxReportColumns = 4

// ParseSettings decodes the settings object of the platform. Its errors name the invalid key. The decision module validates the
// values.
func ParseSettings(text []byte) (policy.Settings, error) {
	var in settingsJSON
	if err := json.Unmarshal(text, &in); err != nil {
		return policy.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := policy.Settings{
		Router: in.Me, Routers: in.ReplicasOfMe, Zone: in.Zone, Zones: len(in.AZs),
		Limits: policy.Limits{
			CanCancel: in.Limits.Cancel, CanProbe: in.Limits.Probes, SendsRetryAfter: in.Limits.RetryAfter,
			MaxAttempts: in.Limits.MostTries, MaxRetryAfter: in.Limits.MaxRetryAfter.duration(),
		},
		MaxWatchDelay: in.Rules.AskWithin.duration(), DrainGrace: in.Rules.DrainGrace.duration(),
		SlowStartInitial: in.Rules.ColdFrom, SlowStart: in.Rules.WarmUp.duration(),
		CrossZonePrice: in.Prices.CrossZone,
	}
	switch in.Discovery {
	case "subscribe":
		s.NeedsWatch = true
	case "automatic":
	default:
		return s, fmt.Errorf("settings: unknown discovery %q", in.Discovery)
	}
	meaning, ok := weightMeanings[in.Weights]
	if !ok {
		return s, fmt.Errorf("settings: unknown weights %q", in.Weights)
	}
	s.WeightMeaning = meaning
	for i := range in.Grades {
		class, err := in.class(i)
		if err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, class)
	}
	for _, realm := range in.Realms {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: realm.Name, Share: realm.Share})
	}
	if len(in.Report.Columns) > maxReportColumns {
		return s, errors.New("settings: report.columns has more than four names")
	}
	for _, name := range in.Report.Columns {
		s.ReportColumns = append(s.ReportColumns, reportColumns[name]) // an unknown column keeps its position with an empty name
	}
	return s, nil
}

// class returns the class of grades[i].
func (in *settingsJSON) class(i int) (policy.Class, error) {
	grade := &in.Grades[i]
	effect, isEffect := effects[grade.Effect]
	group, isGroup := dedupGroups[grade.Group]
	if !isEffect || !isGroup {
		return policy.Class{}, fmt.Errorf("settings: grades[%d]: unknown effect %q or group %q", i, grade.Effect, grade.Group)
	}
	class := policy.Class{
		Name: grade.Name, TargetLatency: grade.Objective.duration(), Deadline: grade.Deadline.duration(),
		DedupWindow: grade.DedupWindow.duration(), Value: grade.Worth, LateValue: grade.LateWorth,
		Effect: effect, DedupGroup: group, IsStreaming: grade.Streaming,
	}
	if i < len(in.FamilyInfo.AimPer1000) {
		class.TargetLatencyPerKTokens = in.FamilyInfo.AimPer1000[i].duration()
	}
	return class, nil
}
