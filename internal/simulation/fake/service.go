package fake

import "math"

// ServiceTime is the lognormal distribution of a class's service time, in ms of one core at full speed.
type ServiceTime struct {
	Mean float64
	CV   float64 // coefficient of variation
}

// ServiceModel is the performance model of an upstream. Requests in service share the cores, and further ones are queued.
// Crowding is the slowdown by contention among many requests in flight. After its start the upstream warms up: its
// capacity rises linearly to full capacity.
type ServiceModel struct {
	Cores               int
	MaxConcurrency      int     // maximum number of requests in service
	QueueLength         int     // maximum number of queued requests
	CrowdingThreshold   int     // requests in flight above which crowding slows service down
	CrowdingFactor      float64 // relative increase of service times by each request above CrowdingThreshold
	WarmUpStartFraction float64 // capacity at the start, as a fraction of full capacity
	WarmUpDuration      float64 // ms from the start to full capacity
	OverloadMultiple    float64 // load above which an upstream crashes during its warm-up, as a multiple of its current capacity
	OverloadDuration    float64 // ms; the load of an upstream is the work that arrived within the last OverloadDuration
	DropsExpired        bool    // a queued request is rejected, not started, after its deadline
}

type jobState uint8

const (
	jobQueued jobState = iota
	jobRunning
	jobFinished
)

// job is one request in flight at an upstream.
type job struct {
	cost      float64 // ms of one core at full speed
	expiresAt float64 // deadline of the request
	onStart   func()  // called when the job starts to run
	onDone    func()  // called when the job has run to its end
	onExpired func()  // called instead of onStart and onDone if the job is dropped from the queue after expiresAt
	state     jobState
}

// service executes jobs according to a model.
type service struct {
	model       ServiceModel
	startedAt   float64
	slowdown    float64 // multiplies all service times; values below 1 have no effect
	running     int
	queue       []*job
	arrivals    []arrival // requests that arrived within the last OverloadDuration, recorded during the warm-up only
	arrivedWork float64   // sum of the work of arrivals
	after       func(ms float64, callback func())
	now         func() float64
}

// arrival is the time of a request's arrival and the mean work of its class, in ms of one core.
type arrival struct{ at, work float64 }

// capacity returns the current capacity of the service as a fraction of its full capacity.
func (s *service) capacity(now float64) float64 {
	age := now - s.startedAt
	if age >= s.model.WarmUpDuration {
		return 1
	}
	return s.model.WarmUpStartFraction + (1-s.model.WarmUpStartFraction)*max(0, age)/s.model.WarmUpDuration
}

// minOverloadRequests is the lowest number of requests that can overload a service. A single costly request may exceed
// what an upstream at the start of its warm-up can do within OverloadDuration.
const minOverloadRequests = 8

// recordArrival adds the work of a request to the load, and reports whether the load crashes the service.
// After the warm-up it records nothing and returns false.
func (s *service) recordArrival(now, work float64) (overloaded bool) {
	if now-s.startedAt > s.model.WarmUpDuration {
		s.arrivals = nil
		s.arrivedWork = 0
		return false
	}
	s.arrivals = append(s.arrivals, arrival{now, work})
	s.arrivedWork += work
	for len(s.arrivals) > 0 && s.arrivals[0].at <= now-s.model.OverloadDuration {
		s.arrivedWork -= s.arrivals[0].work
		s.arrivals = s.arrivals[1:]
	}
	limit := s.model.OverloadMultiple * s.capacity(now) * float64(s.model.Cores) * s.model.OverloadDuration
	return len(s.arrivals) >= minOverloadRequests && s.arrivedWork > limit
}

// admit starts or queues a job. It returns false if the queue is full.
func (s *service) admit(j *job) bool {
	if s.running < s.model.MaxConcurrency {
		s.start(j)
		return true
	}
	if len(s.queue) >= s.model.QueueLength {
		return false
	}
	s.queue = append(s.queue, j)
	return true
}

func (s *service) start(j *job) {
	s.running++
	j.state = jobRunning
	j.onStart()
	s.after(s.serviceTime(j), func() {
		s.running--
		s.startQueued()
		if j.state == jobRunning {
			j.state = jobFinished
			j.onDone()
		}
	})
}

// serviceTime returns how long a job that starts now takes, in ms. Jobs that start later don't change it.
func (s *service) serviceTime(j *job) float64 {
	coreSharing := math.Max(1, float64(s.running)/float64(s.model.Cores))
	crowding := 1 + s.model.CrowdingFactor*max(0, float64(s.inFlight()-s.model.CrowdingThreshold))
	return j.cost / s.capacity(s.now()) * coreSharing * crowding * max(1, s.slowdown)
}

// startQueued starts queued jobs up to MaxConcurrency, and drops expired ones.
func (s *service) startQueued() {
	for len(s.queue) > 0 && s.running < s.model.MaxConcurrency {
		j := s.queue[0]
		s.queue = s.queue[1:]
		switch {
		case j.state != jobQueued:
		case s.model.DropsExpired && s.now() > j.expiresAt:
			j.state = jobFinished
			j.onExpired()
		default:
			s.start(j)
		}
	}
}

// abandon ends a job whose connection has closed, without a call of onDone. A queued job is removed from the queue.
// A running job occupies capacity to its end.
func (s *service) abandon(j *job) {
	if j.state == jobQueued {
		for i, queued := range s.queue {
			if queued == j {
				s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
				break
			}
		}
	}
	j.state = jobFinished
}

func (s *service) inFlight() int { return s.running + len(s.queue) }
