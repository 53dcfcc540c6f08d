package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"notchhinge/policy"
)

// micros is a time in microseconds as the settings give it.
type micros float64

func (m micros) duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Microsecond))
}

// info mirrors the settings object. Unknown keys are ignored.
type info struct {
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

var (
	effects = map[string]policy.Effect{"pure": policy.EffectSafe, "token": policy.EffectKeyed, "side_effect": policy.EffectUnsafe}
	groups  = map[string]policy.DedupGroup{
		"": policy.GroupAll, "all": policy.GroupAll, "zone": policy.GroupZone,
		"cell": policy.GroupCell,
	}
	weights = map[string]policy.WeightMeaning{
		"": policy.WeightUnused, "silent": policy.WeightUnused,
		"nominal": policy.WeightSize, "rough": policy.WeightSize, "live": policy.WeightLive,
	}
	columns = map[string]string{
		"concurrent": "inflight", "depth": "queue", "load_share": "util",
		"mean_ms": "latency_ms", "tps": "qps", "err_ps": "eps", "x0": "x0", "x1": "x1",
	}
)

// ParseSettings reads the settings object of a Launch.
func ParseSettings(text []byte) (policy.Settings, error) {
	var in info
	if err := json.Unmarshal(text, &in); err != nil {
		return policy.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := policy.Settings{
		Router: in.Me, Routers: in.ReplicasOfMe, Zone: in.Zone, Zones: len(in.AZs),
		Limits: policy.Limits{
			CanCancel: in.Limits.Cancel, CanProbe: in.Limits.Probes, SendsRetryAfter: in.Limits.RetryAfter,
			MaxAttempts: in.Limits.MostTries, MaxRetryAfter: in.Limits.MaxRetryAfter.duration(),
		},
		WatchWithin: in.Rules.AskWithin.duration(), DrainGrace: in.Rules.DrainGrace.duration(),
		SlowStartInitial: in.Rules.ColdFrom, SlowStart: in.Rules.WarmUp.duration(),
		CrossZonePrice: in.Prices.CrossZone,
	}
	switch in.Discovery {
	case "subscribe":
		s.NeedsWatch = true
	case "automatic":
	default:
		return s, fmt.Errorf("settings: discovery %q is unknown", in.Discovery)
	}
	w, ok := weights[in.Weights]
	if !ok {
		return s, fmt.Errorf("settings: weights %q is unknown", in.Weights)
	}
	s.WeightMeaning = w
	for i, g := range in.Grades {
		effect, okEffect := effects[g.Effect]
		group, okGroup := groups[g.Group]
		if !okEffect || !okGroup {
			return s, fmt.Errorf("settings: grades[%d] has effect %q and group %q", i, g.Effect, g.Group)
		}
		c := policy.Class{
			Name: g.Name, TargetLatency: g.Objective.duration(), Deadline: g.Deadline.duration(),
			DedupWindow: g.DedupWindow.duration(), Value: g.Worth, LateValue: g.LateWorth,
			Effect: effect, DedupGroup: group, IsStreaming: g.Streaming,
		}
		if i < len(in.FamilyInfo.AimPer1000) {
			c.TargetLatencyPerKTokens = in.FamilyInfo.AimPer1000[i].duration()
		}
		s.Classes = append(s.Classes, c)
	}
	for _, t := range in.Realms {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Name, Share: t.Share})
	}
	if len(in.Report.Columns) > 4 {
		return s, errors.New("settings: report.columns holds more than four names")
	}
	for _, name := range in.Report.Columns {
		s.ReportColumns = append(s.ReportColumns, columns[name]) // an unknown column keeps its place
	}
	return s, nil
}
