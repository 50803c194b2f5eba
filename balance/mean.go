package balance

// serviceTimeGain is the weight of the newest service time in the mean service times.
const serviceTimeGain = 0.02

// mean is a moving average: the arithmetic mean of its first values, and exponentially weighted after them.
type mean struct {
	value float64
	n     float64 // number of values
}

// add adds a value with the weight gain, or 1/n if that is larger.
func (m *mean) add(x, gain float64) {
	m.n++
	m.value += (x - m.value) * max(gain, 1/m.n)
}

// serviceTimes holds the mean times, in ms, from sending an attempt to its successful response.
type serviceTimes struct {
	byClass []mean
	all     mean
}

func (s *serviceTimes) add(class uint8, elapsed Millis) {
	s.byClass[class].add(elapsed, serviceTimeGain)
	s.all.add(elapsed, serviceTimeGain)
}
