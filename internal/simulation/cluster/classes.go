package cluster

import (
	"salttrack/balance"
	"salttrack/internal/simulation/fake"
	"salttrack/internal/simulation/scenario"
)

// deduplicationWindow is the time in ms for which upstreams store an idempotency key.
const deduplicationWindow = 10000.0

// class is a class of requests. It has the values for the clients and those for the balancers' settings.
type class struct {
	fake.Class
	latencyObjective   float64 // ms
	priorityWeight     float64
	costFactor         float64 // mean service time as a multiple of the service time of the cheapest class
	deduplicationScope string  // spelling of the settings; "" for a class without idempotency keys
}

// defaultClasses returns the classes of all clusters with the default deadlines, in ms.
func defaultClasses() []class {
	return []class{
		{
			Class:            fake.Class{Name: "status", Idempotency: balance.Idempotent, Deadline: 1000, Fraction: 0.5},
			latencyObjective: 400,
			priorityWeight:   1,
			costFactor:       1,
		},
		{
			Class:            fake.Class{Name: "porocilo", Idempotency: balance.Idempotent, Deadline: 2000, Fraction: 0.2},
			latencyObjective: 800,
			priorityWeight:   5,
			costFactor:       4,
		},
		{
			Class:              fake.Class{Name: "arhiv", Idempotency: balance.WithIdempotencyKey, Deadline: 2500, Fraction: 0.15},
			latencyObjective:   1000,
			priorityWeight:     3,
			costFactor:         3,
			deduplicationScope: "zone",
		},
		{
			Class:            fake.Class{Name: "oddaja", Idempotency: balance.NonIdempotent, Deadline: 3000, Fraction: 0.15},
			latencyObjective: 1200,
			priorityWeight:   12,
			costFactor:       4,
		},
	}
}

// classesOf returns the classes of a cluster. Its DeadlineFactor multiplies the deadlines and the latency objectives.
func classesOf(c scenario.Cluster) []class {
	classes := defaultClasses()
	if c.DeadlineFactor == 0 {
		return classes
	}
	for i := range classes {
		classes[i].Deadline *= c.DeadlineFactor
		classes[i].latencyObjective *= c.DeadlineFactor
	}
	return classes
}

// fakeClasses returns the classes in the form that the fake clients use.
func fakeClasses(classes []class) []fake.Class {
	list := make([]fake.Class, len(classes))
	for i := range classes {
		list[i] = classes[i].Class
	}
	return list
}
