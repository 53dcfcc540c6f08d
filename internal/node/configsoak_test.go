package node

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/fleetconfig"
)

var soakSeeds = flag.Int("soak-seeds", 4, "number of seeds of TestConfigurationChangesUnderTraffic")

// Parameters of a soak.
const (
	soakSteps       = 40
	soakStep        = 50 * time.Millisecond // from one change to the next
	soakRequests    = 12                    // begun in each step
	soakSlots       = 3                     // routes of each type
	soakMaxAttempts = 2
	soakQueueFactor = 12                     // time in an engine's queue, relative to the time of a run
	soakGoneSlack   = 250 * time.Millisecond // from the removal of an engine to the last arrival of a request there
)

// soakServices are the names of the services.
var soakServices = []string{"a", "b", "提示"}

// arrival is a request that reached an engine.
type arrival struct {
	at  time.Time
	ran bool
}

// soakEngine is an engine that runs most requests. It loses some of their answers, and turns other requests away.
type soakEngine struct {
	endpoint endpoints.Endpoint
	mu       sync.Mutex
	random   *rand.Rand
	arrivals map[string][]arrival // by path, which each request has of its own
	goneAt   time.Time
}

// newSoakEngine starts an engine of a service.
func newSoakEngine(t *testing.T, id, service string, seed uint64) *soakEngine {
	e := &soakEngine{random: rand.New(rand.NewPCG(seed, seed)), arrivals: map[string][]arrival{}}
	e.endpoint = endpointOf(id, service, newScriptedEngine(t, e.answer))
	return e
}

// answer is the script of the engine.
func (e *soakEngine) answer(c net.Conn, r *http.Request) bool {
	e.mu.Lock()
	draw, pause := e.random.IntN(8), time.Duration(e.random.IntN(60))*time.Millisecond
	isTurnedAway, isLost := draw == 0, draw == 1
	if isTurnedAway {
		pause *= soakQueueFactor
	}
	e.arrivals[r.URL.Path] = append(e.arrivals[r.URL.Path], arrival{time.Now(), !isTurnedAway})
	e.mu.Unlock()
	<-time.After(pause)
	if isLost {
		return false
	}
	text := answerServed
	if isTurnedAway {
		text = answerFull
	}
	io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
	return true
}

// soakRequest is a request of a client, and how it ended.
type soakRequest struct {
	path       string
	kind       fleetconfig.RouteType
	status     int
	isRoutable bool // its route was in every configuration from its start to its end
}

// configSoak changes the configuration and the engines of a data plane while clients send requests.
type configSoak struct {
	t        *testing.T
	random   *rand.Rand
	plane    *testPlane
	engines  []*soakEngine // that are listed
	gone     []*soakEngine
	started  int // engines
	inFlight sync.WaitGroup

	mu       sync.Mutex
	configs  []*fleetconfig.Config // in the order in which they were applied
	requests []*soakRequest
}

// TestConfigurationChangesUnderTraffic guards against state of a service that outlives or precedes the configuration that it belongs
// to: services are listed, get and lose routes and are dropped, and engines come and go, while engines lose answers and turn requests
// away. Every configuration is applied, no request that may run once runs twice, no route of all configurations is missing, and
// nothing reaches an engine that is gone.
func TestConfigurationChangesUnderTraffic(t *testing.T) {
	for seed := range uint64(*soakSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := &configSoak{t: t, random: rand.New(rand.NewPCG(seed, 56)), plane: newTestPlane(t, seed)}
			for _, service := range soakServices {
				for range 3 {
					s.startEngine(service)
				}
			}
			for step := range soakSteps {
				s.changeEngines()
				s.applyConfig(step)
				for range soakRequests {
					s.sendRequest()
				}
				<-time.After(soakStep)
			}
			s.inFlight.Wait()
			s.check()
		})
	}
}

// startEngine starts an engine and lists it.
func (s *configSoak) startEngine(service string) {
	s.started++
	s.engines = append(s.engines, newSoakEngine(s.t, fmt.Sprint("i-", s.started), service, s.random.Uint64()))
	s.listEngines()
}

func (s *configSoak) listEngines() {
	var all []endpoints.Endpoint
	for _, e := range s.engines {
		all = append(all, e.endpoint)
	}
	s.plane.setEndpoints(all...)
}

// changeEngines replaces an engine in some steps, by one of the same service.
func (s *configSoak) changeEngines() {
	if s.random.IntN(3) > 0 {
		return
	}
	at := s.random.IntN(len(s.engines))
	e := s.engines[at]
	s.engines = append(s.engines[:at:at], s.engines[at+1:]...)
	s.startEngine(e.endpoint.Service)
	e.goneAt = time.Now()
	s.gone = append(s.gone, e)
}

// applyConfig draws a configuration and applies it.
func (s *configSoak) applyConfig(step int) {
	c := s.drawConfig(uint64(step) + 2)
	if err := c.Validate(); err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	s.configs = append(s.configs, c) // before it is in force: a request may see either
	s.mu.Unlock()
	if err := s.plane.dataPlane.applyConfig(c.Revision, c); err != nil {
		s.t.Errorf("revision %d: %v", c.Revision, err)
	}
}

// drawConfig draws a configuration in which each service has routes, is only listed, or is missing.
func (s *configSoak) drawConfig(revision uint64) *fleetconfig.Config {
	c := &fleetconfig.Config{Revision: revision}
	var routed []string
	for _, name := range soakServices {
		draw := s.random.IntN(4)
		if draw > 0 {
			c.Services = append(c.Services, fleetconfig.Service{Name: name})
		}
		if draw > 1 {
			routed = append(routed, name)
		}
	}
	if len(routed) == 0 {
		return c
	}
	service := func() string { return routed[s.random.IntN(len(routed))] }
	for _, kind := range []fleetconfig.RouteType{fleetconfig.RouteIdempotent, fleetconfig.RouteNonIdempotent, fleetconfig.RouteStreaming} {
		for slot := range soakSlots {
			if s.random.IntN(3) == 0 {
				continue
			}
			r := fleetconfig.Route{
				Name: fmt.Sprint(kind, slot), Hostname: "h", PathPrefix: fmt.Sprintf("/%s/%d/", kind, slot), Type: kind, TimeoutMS: 1500,
				TargetLatencyMS: float64(100 * (1 + s.random.IntN(3))), MaxAttempts: soakMaxAttempts, TargetService: service(),
			}
			if s.random.IntN(3) == 0 {
				r.TrafficSplit = []fleetconfig.WeightedService{{Service: service(), Weight: 90}, {Service: service(), Weight: 10}}
			}
			c.Routes = append(c.Routes, r)
		}
	}
	return c
}

// sendRequest begins a request on a route of the newest configuration.
func (s *configSoak) sendRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.configs[len(s.configs)-1]
	if len(newest.Routes) == 0 {
		return
	}
	route := newest.Routes[s.random.IntN(len(newest.Routes))]
	request := &soakRequest{path: fmt.Sprint(route.PathPrefix, len(s.requests)), kind: route.Type}
	s.requests = append(s.requests, request)
	first := len(s.configs) - 1
	s.inFlight.Go(func() {
		resp, err := http.DefaultClient.Do(newPost(s.t, s.plane.addr, request.path))
		if err == nil {
			resp.Body.Close()
			request.status = resp.StatusCode
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		request.isRoutable = true
		for _, c := range s.configs[first:] {
			request.isRoutable = request.isRoutable && hasPrefix(c, route.PathPrefix)
		}
	})
}

// hasPrefix reports whether a configuration has a route with a path prefix.
func hasPrefix(c *fleetconfig.Config, prefix string) bool {
	for i := range c.Routes {
		if c.Routes[i].PathPrefix == prefix {
			return true
		}
	}
	return false
}

// checkGone checks that no request reached an engine after it was gone.
func (s *configSoak) checkGone(e *soakEngine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.goneAt.IsZero() {
		return
	}
	for path, arrivals := range e.arrivals {
		for _, a := range arrivals {
			if late := a.at.Sub(e.goneAt); late > soakGoneSlack {
				s.t.Errorf("%s reached engine %s of service %s %v after it was gone", path, e.endpoint.ID, e.endpoint.Service, late)
			}
		}
	}
}

// check compares what the clients and engines saw with what the configurations allow.
func (s *configSoak) check() {
	all := map[string][]arrival{}
	for _, e := range append(s.engines, s.gone...) {
		s.checkGone(e)
		for path, arrivals := range e.arrivals {
			all[path] = append(all[path], arrivals...)
		}
	}
	served := 0
	for _, r := range s.requests {
		runs := 0
		for _, a := range all[r.path] {
			if a.ran {
				runs++
			}
		}
		if runs > 1 && r.kind != fleetconfig.RouteIdempotent || len(all[r.path]) > soakMaxAttempts {
			s.t.Errorf("%s ran %d times, at %d engines; status %d", r.path, runs, len(all[r.path]), r.status)
		}
		if r.status == http.StatusNotFound && r.isRoutable {
			s.t.Errorf("%s: status 404 although its route was there", r.path)
		}
		if r.status == http.StatusOK {
			served++
		}
	}
	if served < len(s.requests)/2 {
		s.t.Errorf("%d of %d requests served", served, len(s.requests))
	}
	if text := s.plane.logged.String(); strings.Contains(text, "cannot be changed or removed") {
		s.t.Errorf("a policy module rejected its classes: %s", text)
	}
}
