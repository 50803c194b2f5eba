// Package names defines a Go constant for each string that the simulator stores or hashes.
//
// Fault types and rules are written in scenario files, reports and command lines.
// The names of random streams, processes, machines and scheduled events determine the random numbers, the order of
// events and the hash of a run.
// No value may change: stored scenarios could no longer be read, or runs could no longer be compared by their hash.
// The keys of scenario files are the TOML tags of scenario.Scenario.
package names

// FaultType is the name of a fault type in scenario files and on the command line.
type FaultType string

// Faults of upstreams.
const (
	SlowUpstream        FaultType = "slow"
	SlowTier            FaultType = "shared_slow"
	CostlyRequests      FaultType = "costly"
	HangingUpstream     FaultType = "hang"
	ErrorResponses      FaultType = "errors"
	CorruptResponses    FaultType = "spoil"
	ExtraResponses      FaultType = "surplus"
	RejectingUpstream   FaultType = "away"
	CrashUpstream       FaultType = "crash"
	UnreachableUpstream FaultType = "vanish"
	FreezeUpstream      FaultType = "freeze"
	DrainUpstream       FaultType = "drain"
	ReplaceUpstream     FaultType = "replace"
	RollingDeploy       FaultType = "deploy"
	DisableUpstream     FaultType = "offline"
)

// Faults of the network.
const (
	PartitionWithReset FaultType = "cut"
	PartitionWithPause FaultType = "pause"
	HighLatency        FaultType = "latency"
	FragmentedWrites   FaultType = "shred"
)

// Faults of balancers and their machines.
const (
	KillBalancer       FaultType = "kill"
	RestartBalancer    FaultType = "restart"
	StallBalancer      FaultType = "stall"
	RepeatedStalls     FaultType = "stutter"
	MoveDiscoveryAgent FaultType = "reload"
	ChangeSettings     FaultType = "retune"
	ReloadUnchanged    FaultType = "hup"
	ClockStep          FaultType = "clock"
	ShortReadsWrites   FaultType = "short_calls"
	FailingSystemCalls FaultType = "calls_fail"
)

// Faults of discovery.
const (
	MutedDiscovery           FaultType = "disco_silent"
	LaggingDiscovery         FaultType = "disco_lag"
	DuplicateUpdates         FaultType = "disco_repeat"
	DiscoveryConnectionReset FaultType = "disco_reset"
)

// Faults of clients.
const (
	LoadSurge         FaultType = "surge"
	CancellingClients FaultType = "leave"
	SlowReaders       FaultType = "slow_read"
	SlowWriters       FaultType = "slow_write"
	PipeliningClients FaultType = "piped"
	NewConnections    FaultType = "fresh"
	LateFirstRequests FaultType = "hesitant"
	MalformedClients  FaultType = "rude"
)

// Rule is the name of a rule that each run is checked against, in reports and on the command line.
type Rule string

// The rules. The comment of each rule describes its violation.
const (
	LostRequest            Rule = "lost"         // a request that a balancer received got no response
	LateResponse           Rule = "late"         // a response arrived after the deadline of its request
	ExtraResponse          Rule = "second"       // a balancer sent a second response, or data that belongs to no valid response
	CrossedResponse        Rule = "crossed"      // a client got the response to another request
	DuplicateExecution     Rule = "twice"        // a request that must be executed at most once was executed again
	FalseRejection         Rule = "refusal"      // a balancer rejected a request that an upstream executed
	AttemptAfterResponse   Rule = "after-answer" // an attempt began after the final response or a cancellation
	DrainingUpstreamUsed   Rule = "drain"        // an attempt was sent to a draining upstream after the grace period
	DisabledUpstreamUsed   Rule = "taken-out"    // an attempt was sent to an upstream that operators disabled
	WarmingUpstreamCrashed Rule = "cold"         // an upstream that was warming up crashed from overload
	TooManyAttempts        Rule = "attempts"     // a request had more attempts than the limit
	UnknownRequest         Rule = "unasked"      // an upstream received a request that no client sent
	MalformedRequest       Rule = "malformed"    // an upstream received a request that is not valid HTTP
	MalformedInputAccepted Rule = "rude"         // malformed input was served, or neither rejected nor closed in time
	LeakedState            Rule = "left-over"    // a balancer had unfinished work or open descriptors when idle or at exit
	CounterMismatch        Rule = "counters"     // a balancer's counters differ from the events recorded on the wire
	Panic                  Rule = "crash"        // the program panicked or ran too many loop iterations within a second
	ShutdownTimeout        Rule = "no-end"       // a balancer was still running when the platform may kill it, or at the end of the run
)

// Rules contains all rules.
var Rules = []Rule{LostRequest, LateResponse, ExtraResponse, CrossedResponse, DuplicateExecution, FalseRejection,
	AttemptAfterResponse, DrainingUpstreamUsed, DisabledUpstreamUsed, WarmingUpstreamCrashed, TooManyAttempts,
	UnknownRequest, MalformedRequest, MalformedInputAccepted, LeakedState, CounterMismatch, Panic, ShutdownTimeout}

// Random streams of the generation of scenarios.
const (
	ScenarioStream         = "world"
	ScenarioDeadlineStream = "deadlines"
	ScenarioFaultStream    = "script/%d" // index of the fault
)

// Prefixes of the names of random streams and process seeds.
const (
	KernelStream          = "kernel/"     // followed by the process
	ProcessSeed           = "process/"    // followed by the process, or by NestedCallerSeed
	NestedCallerSeed      = "chain/"      // followed by the process of the upstream that makes the calls
	UpstreamStream        = "upstream/"   // followed by the upstream
	UpstreamFaultStream   = "trouble/"    // followed by one of the last four constants of this list, a slash and the upstream
	ClientArrivalStream   = "callers/"    // followed by the zone
	ClientRequestStream   = "client/"     // followed by the zone
	MalformedInputStream  = "rude/"       // followed by the zone
	NestedCallerStream    = "chain/"      // followed by the balancer that receives the calls
	BalancerPoolStream    = "front/"      // followed by the process of the clients
	FaultStream           = "fault/"      // followed by the ID of the fault
	RestartNoticeStream   = "leave/"      // followed by the balancer
	DiscoveryAgentStream  = "agent/%s/%d" // arguments: balancer, number of moves of its discovery agent
	CostlyRequestStream   = "costly"
	ErrorResponseStream   = "errors"
	CorruptResponseStream = "spoil"
	ExtraResponseStream   = "surplus"
)

// Names of processes and machines.
const (
	BalancerName         = "b%d"        // argument: index of the balancer
	NestedBalancerName   = "c%d-%d"     // arguments: tier, index of the balancer
	BalancerProcess      = "%s.%d"      // arguments: balancer, number of the start
	BalancerMachine      = "m-b%d"      // argument: index of the balancer
	UpstreamName         = "u%d-%d"     // arguments: tier, index of the replica
	UpstreamGeneration   = "u%d-%d.%d"  // arguments: tier, index of the replica, generation of the replica
	UpstreamProcess      = "%s.%d"      // arguments: upstream, generation of the replica
	UpstreamMachine      = "m-u%d-%d"   // arguments: tier, index of the replica
	ClientProcessPrefix  = "callers-"   // followed by the zone
	ClientMachinePrefix  = "m-callers-" // followed by the zone
	DiscoveryAgentPrefix = "agent-"     // followed by the balancer
)

// Names of scheduled events.
// The comment of each name states what follows the name or which argument it takes, and then what happens at the event.
// The last four names are events within a fault: a slash and the ID of the fault follow them.
const (
	BalancerStart   = "start/"     // followed by the balancer; its first process starts
	BalancerRestart = "again/"     // followed by the process that has exited; its successor starts
	ExitDeadline    = "killed/"    // followed by the process that got SIGTERM; it must have exited
	FaultBegin      = "begin/"     // followed by the ID of the fault; it begins
	FaultEnd        = "end/"       // followed by the ID of the fault; it ends
	UpstreamCrash   = "fell/"      // followed by the process of an upstream; it crashes from overload
	ClientsStart    = "callers/%d" // argument: index of the zone; its clients begin to send requests
	NextStall       = "stutter"    // the next stall of RepeatedStalls begins
	DeployReplica   = "deploy-%d"  // argument: position in a RollingDeploy; the replica begins to drain
	DeployedReplica = "gone-%d"    // argument: position in a RollingDeploy; its old process ends and a new one starts
	RestartDisabled = "anew"       // the upstream of a DisableUpstream fault restarts
)
