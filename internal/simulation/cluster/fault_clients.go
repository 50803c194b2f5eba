package cluster

import "salttrack/internal/simulation/fake"

// clientFault sets one value of the clients' behavior to the size of the fault.
type clientFault struct {
	value  func(*fake.ClientBehavior) *float64 // returns a pointer to the value
	normal float64                             // the value without the fault
}

func (b clientFault) begin(f *activeFault) func() {
	value := b.value(&f.cluster.clientBehavior)
	*value = f.Size
	return func() { *value = b.normal }
}
