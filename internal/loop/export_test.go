package loop

// Waited is the wait that is no mere call.
const Waited = waited

// Turned is when the wait of the last turn ended.
func (l *Loop) Turned() float64 { return l.turned }
