package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"strconv"
	"strings"

	"golang.org/x/sync/errgroup"

	"laburnumfall/internal/workload"
)

// loadOptions are the options of lf-load.
type loadOptions struct {
	Scenario string   `long:"scenario" value-name:"FILE" required:"yes" description:"scenario file (TOML)"`
	Policy   []string `long:"policy" value-name:"NAME" description:"policy to play; may be given several times (default: all)"`
	Ablate   bool     `long:"ablate" description:"play what routers do, and the same without one mechanism after the other"`
	Seed     uint64   `long:"seed" default:"1" description:"first seed"`
	Seeds    uint64   `long:"seeds" default:"1" description:"how many seeds"`
	Loads    string   `long:"loads" value-name:"X,…" default:"1" description:"how many times as often as the scenario says requests come"`
	JSON     string   `long:"json" value-name:"FILE" description:"also write all results as JSON lines"`
	Plot     string   `long:"plot" value-name:"FILE" description:"also draw the worth over the load into a PNG file"`
	Check    bool     `long:"check" description:"only verify the scenario"`
	Version  bool     `long:"version" description:"print the version and exit"`
}

// Load runs lf-load and returns its exit code: 1 if the results fail a check of the
// scenario.
func Load(args []string, stdout, stderr io.Writer) int {
	var o loadOptions
	if len(args) == 1 && args[0] == "--version" {
		return printVersion("lf-load", stdout)
	}
	if _, code, ended := parse("lf-load", &o, args, stdout, stderr); ended {
		return code
	}
	s, err := workload.ReadScenario(o.Scenario)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	loads, err := o.loads()
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	if o.Check {
		say(stdout, "%s: the scenario is good\n", o.Scenario)
		return exitDone
	}
	list, err := o.play(s, loads)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	say(stdout, "%s", workload.Table(list))
	if err := o.write(list); err != nil {
		return fail(stderr, exitFail, err)
	}
	broken := s.FailedChecks(list)
	for _, b := range broken {
		say(stdout, "check failed: %s\n", b)
	}
	if len(broken) > 0 {
		return exitFail
	}
	return exitDone
}

func (o loadOptions) loads() ([]float64, error) {
	var list []float64
	for _, field := range strings.Split(o.Loads, ",") {
		x, err := strconv.ParseFloat(strings.TrimSpace(field), 64)
		if err != nil || x <= 0 {
			return nil, fmt.Errorf("%q is no load (give numbers above 0, separated by commas)", field)
		}
		list = append(list, x)
	}
	return list, nil
}

// policies returns the names of the policies to play.
func (o loadOptions) policies() []string {
	switch {
	case o.Ablate:
		return workload.Ablations()
	case len(o.Policy) > 0:
		return o.Policy
	default:
		return workload.Policies
	}
}

// play runs each policy at each load with each seed, as many at a time as there are
// processors.
func (o loadOptions) play(s workload.Scenario, loads []float64) ([]workload.Result, error) {
	policies := o.policies()
	list := make([]workload.Result, len(policies)*len(loads)*int(o.Seeds))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	at := 0
	for _, load := range loads {
		for _, policy := range policies {
			for seed := o.Seed; seed < o.Seed+o.Seeds; seed++ {
				place := &list[at]
				at++
				group.Go(func() error {
					r, err := workload.Run(s.WithLoad(load), policy, seed)
					r.Load = load
					*place = r
					return err
				})
			}
		}
	}
	return list, group.Wait()
}

func (o loadOptions) write(list []workload.Result) error {
	if o.JSON != "" {
		var b strings.Builder
		encoder := json.NewEncoder(&b)
		for _, r := range list {
			if err := encoder.Encode(r); err != nil {
				return fmt.Errorf("encode a result: %w", err)
			}
		}
		if err := os.WriteFile(o.JSON, []byte(b.String()), 0o644); err != nil {
			return fmt.Errorf("write the results (name a writable file): %w", err)
		}
	}
	if o.Plot == "" {
		return nil
	}
	return workload.WritePlot(list, o.Plot)
}
