package cluster

import "salttrack/internal/simulation/fake"

// clientFault sets one value of the clients' behavior to the fault's size.
type clientFault struct {
	value  func(*fake.ClientBehavior) *float64
	normal float64 // without the fault
}

func (b clientFault) begin(f *activeFault) func() {
	value := b.value(&f.cluster.clientBehavior)
	*value = f.Size
	return func() { *value = b.normal }
}
