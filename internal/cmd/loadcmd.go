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
	Policy   []string `long:"policy" value-name:"NAME" description:"policy to simulate; may be given several times (default: all)"`
	Ablate   bool     `long:"ablate" description:"simulate the policy of routers, and again with one of its mechanisms disabled at a time"`
	Seed     uint64   `long:"seed" default:"1" description:"first seed"`
	Seeds    uint64   `long:"seeds" default:"1" description:"how many seeds"`
	Loads    string   `long:"loads" value-name:"X,…" default:"1" description:"factors by which the request rates of the scenario are multiplied"`
	JSON     string   `long:"json" value-name:"FILE" description:"also write all results as JSON lines"`
	Plot     string   `long:"plot" value-name:"FILE" description:"also plot the worth over the load as a PNG file"`
	Check    bool     `long:"check" description:"only verify the scenario"`
	Version  bool     `long:"version" description:"print the version and exit"`
}

// Load runs lf-load and returns its exit code, which is 1 if the results fail a check of the
// scenario.
func Load(args []string, stdout, stderr io.Writer) int {
	var options loadOptions
	if len(args) == 1 && args[0] == "--version" {
		return printVersion("lf-load", stdout)
	}
	if _, code, exit := parse("lf-load", &options, args, stdout, stderr); exit {
		return code
	}
	scenario, err := workload.ReadScenario(options.Scenario)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	loads, err := options.parseLoads()
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	if options.Check {
		printf(stdout, "%s: the scenario is good\n", options.Scenario)
		return exitOK
	}
	results, err := options.runSimulations(scenario, loads)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	printf(stdout, "%s", workload.Table(results))
	if err := options.writeResults(results); err != nil {
		return fail(stderr, exitFailure, err)
	}
	failures := scenario.Check(results)
	for _, failure := range failures {
		printf(stdout, "check failed: %s\n", failure)
	}
	if len(failures) > 0 {
		return exitFailure
	}
	return exitOK
}

func (o loadOptions) parseLoads() ([]float64, error) {
	var loads []float64
	for _, field := range strings.Split(o.Loads, ",") {
		load, err := strconv.ParseFloat(strings.TrimSpace(field), 64)
		if err != nil || load <= 0 {
			return nil, fmt.Errorf("%q is not a load factor (give numbers above 0, separated by commas)", field)
		}
		loads = append(loads, load)
	}
	return loads, nil
}

// selectedPolicies returns the names of the policies to simulate.
func (o loadOptions) selectedPolicies() []string {
	switch {
	case o.Ablate:
		return workload.Ablations()
	case len(o.Policy) > 0:
		return o.Policy
	default:
		return workload.Policies
	}
}

// runSimulations simulates each policy at each load with each seed. It runs as many simulations in
// parallel as there are processors.
func (o loadOptions) runSimulations(scenario workload.Scenario, loads []float64) ([]workload.Result, error) {
	policies := o.selectedPolicies()
	results := make([]workload.Result, len(policies)*len(loads)*int(o.Seeds))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	index := 0
	for _, load := range loads {
		for _, policy := range policies {
			for seed := o.Seed; seed < o.Seed+o.Seeds; seed++ {
				dest := &results[index]
				index++
				group.Go(func() error {
					result, err := workload.Run(scenario.WithLoad(load), policy, seed)
					result.Load = load
					*dest = result
					return err
				})
			}
		}
	}
	return results, group.Wait()
}

func (o loadOptions) writeResults(results []workload.Result) error {
	if o.JSON != "" {
		var text strings.Builder
		encoder := json.NewEncoder(&text)
		for _, result := range results {
			if err := encoder.Encode(result); err != nil {
				return fmt.Errorf("encode a result: %w", err)
			}
		}
		if err := os.WriteFile(o.JSON, []byte(text.String()), 0o644); err != nil {
			return fmt.Errorf("write the results (name a writable file): %w", err)
		}
	}
	if o.Plot == "" {
		return nil
	}
	return workload.Draw(results, o.Plot)
}
