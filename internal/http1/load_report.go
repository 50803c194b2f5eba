package http1

import (
	"strconv"
	"strings"
)

// maxLoadValue is the largest valid value in a load report.
const maxLoadValue = 1e9

// LoadReportValue returns the value with the given name in a load report, and whether the report has a valid one.
// A report is a comma-separated list of name=value pairs.
// A value is invalid if it is not a number, is negative or exceeds maxLoadValue.
func LoadReportValue(report, name string) (float64, bool) {
	for part := range strings.SplitSeq(report, ",") {
		key, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if key == name {
			value, err := strconv.ParseFloat(text, 64)
			return value, err == nil && value >= 0 && value <= maxLoadValue
		}
	}
	return 0, false
}
