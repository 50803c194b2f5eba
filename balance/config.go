package balance

// Millis is a time or a duration in milliseconds. Times are those of the host's clock.
type Millis = float64

// RequestID identifies a request. The host does not reuse it while the request is in progress.
type RequestID uint32

// UpstreamID identifies an upstream within this process. An upstream that is restarted keeps its id.
type UpstreamID uint32

// Idempotency says whether a request may be executed more than once.
type Idempotency uint8

// Values of Idempotency.
const (
	Idempotent         Idempotency = iota // may be executed any number of times
	WithIdempotencyKey                    // carries a key by which a set of upstreams drops duplicates for a limited time
	NonIdempotent                         // must not be executed more than once
)

// DeduplicationScope is the set of upstreams within which duplicates of a request with an idempotency key are
// dropped: an upstream drops a request that another upstream of the set has executed.
type DeduplicationScope uint8

// Values of DeduplicationScope.
const (
	ScopeAll  DeduplicationScope = iota // all upstreams
	ScopeZone                           // the upstreams of one zone
	ScopeCell                           // the upstreams of one cell of a zone
)

// Class holds the settings of one class of requests.
type Class struct {
	LatencyObjective    Millis  // a response within this time after the request's arrival earns the full weight
	Deadline            Millis  // time that a client has for a request, including the client's own retries
	PriorityWeight      float64 // value of a response within the latency objective; requests of the lowest weight are shed first
	LateWeight          float64 // fraction of PriorityWeight that a response after the latency objective earns
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope // used with WithIdempotencyKey
	DeduplicationWindow Millis             // used with WithIdempotencyKey: how long upstreams drop duplicates
	Streaming           bool               // responses are streamed: OnResponseStarted reports their start
	Removed             bool               // no new request may have this class; requests in progress still use its index
}

// Config holds the settings of an instance. It must not be modified after it was passed to New or OnSettings.
type Config struct {
	Instance          int       // index of this instance among its replicas, from 0
	Replicas          int       // number of instances that share the load, including this one
	Tier              int       // index of the tier that this instance sends to, from 0
	TierCount         int       // total number of tiers
	Zone              uint16    // zone of this instance
	Classes           []Class   // indexed by RequestArrived.Class
	TenantQuota       []float64 // requests per second over all replicas, indexed by RequestArrived.Tenant; 0: unlimited
	OverQuotaWeight   float64   // fraction of its priority weight that a request over its tenant's quota keeps
	PollEndpoints     bool      // the host reports endpoint updates only after a WatchEndpoints action
	Granularity       Millis    // minimum time between two batches of events from the host
	SlowStartCapacity float64   // minimum fraction of its capacity that an upstream has when it starts
	SlowStartDuration Millis    // maximum time from the start of an upstream until it has its full capacity
	OverloadMultiple  float64   // an upstream fails under more than this multiple of its capacity; no decision uses it
	OverloadDuration  Millis    // an upstream fails after a load above OverloadMultiple for this long
	MaxAttempts       int       // maximum number of attempts of a request
	CanCancel         bool      // attempts in flight may be cancelled
	Hedging           bool      // two attempts of a request may be in flight at once; no decision uses it
	MaxRetryAfter     Millis    // longest Retry-After that clients follow; 0 if responses carry no Retry-After
}

// EndpointState is the state of an upstream in the endpoint list.
type EndpointState uint8

// Values of EndpointState.
const (
	Removed  EndpointState = iota // no longer in the endpoint list
	Ready                         // accepts requests
	Draining                      // finishes its requests and accepts no new ones
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        UpstreamID
	Zone      uint16
	Cell      uint16
	State     EndpointState
	StartedAt Millis // start of the upstream's process; 0 if that is long ago
}
