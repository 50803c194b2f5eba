// Package seedsearch runs the scenarios of many seeds to find violations of rules.
// It also shrinks a scenario to a smaller one that violates the same rule.
package seedsearch

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"salttrack/internal/simulation/checker"
	"salttrack/internal/simulation/cluster"
	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/randstream"
	"salttrack/internal/simulation/scenario"
)

// Options are the parameters of Run.
type Options struct {
	FirstSeed   uint64
	Seeds       int              // number of consecutive seeds
	Concurrency int              // number of scenarios that run concurrently; 0 means GOMAXPROCS
	Scenario    scenario.Options // options of the generated scenarios
	// OnResult is called with the result of each seed, in the order of the seeds. It may be nil.
	// The search ends when it returns false.
	OnResult func(*cluster.Result) (proceed bool)
}

// Summary sums up the results of all seeds of a search.
// All fields except RealSeconds are the same for any Options.Concurrency.
type Summary struct {
	Seeds          int                   `json:"seeds"`           // number of seeds that have run
	Steps          uint64                `json:"steps"`           // simulation steps of all runs
	VirtualSeconds float64               `json:"virtual_seconds"` // simulated time of all runs
	RealSeconds    float64               `json:"real_seconds"`    // duration of the search
	Violations     map[names.Rule]int    `json:"violations"`      // number of seeds whose first violation is of the rule
	FirstSeeds     map[names.Rule]uint64 `json:"first_seed"`      // the first seed whose first violation is of the rule
	Hash           uint64                `json:"hash"`            // combined hash of all runs
	Counts         checker.Counts        `json:"count"`           // sums of the counts of all runs
}

// Run runs the scenarios of the seeds and returns the summary.
func Run(o Options) *Summary {
	startedAt := time.Now()
	if o.Concurrency <= 0 {
		o.Concurrency = runtime.GOMAXPROCS(0)
	}
	summary := &Summary{Violations: map[names.Rule]int{}, FirstSeeds: map[names.Rule]uint64{}}
	w := startWorkers(o)
	for i := range w.results {
		result := <-w.results[i]
		summary.add(&result)
		if o.OnResult != nil && !o.OnResult(&result) {
			break
		}
	}
	w.stop()
	summary.RealSeconds = time.Since(startedAt).Seconds()
	return summary
}

// workers runs scenarios in goroutines.
// A goroutine ends when no seed is left, or after its current run once stop is called.
type workers struct {
	options  Options
	results  []chan cluster.Result // one per seed, buffered so that no worker blocks
	next     atomic.Int64          // index of the next seed to run
	stopping atomic.Bool
	running  sync.WaitGroup // all worker goroutines
}

func startWorkers(o Options) *workers {
	w := &workers{options: o, results: make([]chan cluster.Result, o.Seeds)}
	for i := range w.results {
		w.results[i] = make(chan cluster.Result, 1)
	}
	for range o.Concurrency {
		w.running.Go(w.runSeeds)
	}
	return w
}

// runSeeds is the loop of one worker goroutine.
func (w *workers) runSeeds() {
	for !w.stopping.Load() {
		i := int(w.next.Add(1)) - 1
		if i >= len(w.results) {
			return
		}
		seed := w.options.FirstSeed + uint64(i)
		w.results[i] <- cluster.Play(scenario.Generate(seed, w.options.Scenario), cluster.Options{})
	}
}

// stop tells all workers to end after their current run, and waits for them.
func (w *workers) stop() {
	w.stopping.Store(true)
	w.running.Wait()
}

// add adds the result of one seed to the summary. It is called in the order of the seeds.
func (s *Summary) add(result *cluster.Result) {
	s.Seeds++
	s.Steps += result.Steps
	s.VirtualSeconds += result.Seconds
	s.Hash = randstream.CombineHash(s.Hash, result.Hash)
	s.Counts.Add(result.Counts)
	rule := result.FirstRule()
	if rule == "" {
		return
	}
	s.Violations[rule]++
	if _, found := s.FirstSeeds[rule]; !found {
		s.FirstSeeds[rule] = result.Seed
	}
}
