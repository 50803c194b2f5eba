package simwire

// OutcomeCode is the protocol's code for the outcome of an attempt or a health check.
type OutcomeCode uint16

// The outcome codes of the protocol.
const (
	OutcomeOK              OutcomeCode = 100
	OutcomeUpstreamError   OutcomeCode = 301
	OutcomeOverloaded      OutcomeCode = 302
	OutcomeTimedOut        OutcomeCode = 303
	OutcomeConnectFailed   OutcomeCode = 304
	OutcomeConnectionReset OutcomeCode = 305
	OutcomeCancelled       OutcomeCode = 306
	OutcomeNotSent         OutcomeCode = 307
)

// maxLoadValues is the maximum number of values in a load report.
const maxLoadValues = 4

// LoadReport is a report of an upstream about its load. The settings define the meaning of each column.
type LoadReport struct {
	values [maxLoadValues]float32 // by column
	count  int                    // number of columns in the report
}

// NewLoadReport returns a report with the given values. Values after the fourth are ignored.
func NewLoadReport(values ...float32) LoadReport {
	report := LoadReport{}
	report.count = copy(report.values[:], values)
	return report
}

// Value returns the value in a column. ok is false if the report does not have that column.
func (r *LoadReport) Value(column int) (value float64, ok bool) {
	if column < 0 || column >= r.count {
		return 0, false
	}
	return float64(r.values[column]), true
}
