package faultinject

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"golang.org/x/sys/unix"

	"salttrack/internal/loop"
)

// schedule is the content of a fault schedule file.
type schedule struct {
	Seed  uint64         `json:"seed"`
	Rules []scheduleRule `json:"rules"`
	Files []FileRule     `json:"files"`
	Steps []scheduleStep `json:"steps"`
}

// scheduleRule is the JSON form of a Rule. ErrnoName is a key of errnos.
type scheduleRule struct {
	Call       Call    `json:"call"`
	ErrnoName  string  `json:"errno"`
	FromMS     float64 `json:"from_ms"`
	DurationMS float64 `json:"for_ms"`
	Fraction   float64 `json:"share"`
	MaxHits    int     `json:"times"`
}

// scheduleStep is the JSON form of a ClockStep.
type scheduleStep struct {
	AtMS     float64 `json:"at_ms"`
	OffsetMS float64 `json:"by_ms"`
}

// shortName is the name of Short in schedules.
const shortName = "short"

// errnos maps the errno names that a schedule may contain to their values.
var errnos = map[string]unix.Errno{
	shortName:       Short,
	"EINTR":         unix.EINTR,
	"EAGAIN":        unix.EAGAIN,
	"ECONNABORTED":  unix.ECONNABORTED,
	"EMFILE":        unix.EMFILE,
	"ENFILE":        unix.ENFILE,
	"ENOBUFS":       unix.ENOBUFS,
	"ENOMEM":        unix.ENOMEM,
	"ENOSPC":        unix.ENOSPC,
	"EADDRNOTAVAIL": unix.EADDRNOTAVAIL,
	"EADDRINUSE":    unix.EADDRINUSE,
	"ENETUNREACH":   unix.ENETUNREACH,
	"EHOSTUNREACH":  unix.EHOSTUNREACH,
	"ETIMEDOUT":     unix.ETIMEDOUT,
	"ECONNRESET":    unix.ECONNRESET,
	"EPERM":         unix.EPERM,
	"EIO":           unix.EIO,
}

// calls is the set of system calls that a schedule may contain.
var calls = map[Call]bool{
	Accept: true, Connect: true, Listen: true, Read: true, Write: true, Add: true, Modify: true, Wait: true,
}

// ScheduleError reports an invalid fault schedule file.
type ScheduleError struct {
	File   string
	Path   string // JSON path of the invalid value, for example "rules[2].errno"; "" if the file can't be parsed
	Reason string
}

// Error returns the file, the path if there is one, and the reason.
func (e *ScheduleError) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("fault schedule %s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("fault schedule %s: %s: %s", e.File, e.Path, e.Reason)
}

// Load reads a schedule file and returns a kernel that injects its faults into k.
// It returns a *ScheduleError if the file is invalid.
func Load(path string, k loop.Kernel) (*Kernel, error) {
	s, err := readSchedule(path)
	if err != nil {
		return nil, err
	}
	rules := make([]Rule, 0, len(s.Rules))
	for _, r := range s.Rules {
		rules = append(rules, Rule{
			Call:       r.Call,
			Errno:      errnos[r.ErrnoName],
			FromMS:     r.FromMS,
			DurationMS: r.DurationMS,
			Fraction:   r.Fraction,
			MaxHits:    r.MaxHits,
		})
	}
	steps := make([]ClockStep, 0, len(s.Steps))
	for _, step := range s.Steps {
		steps = append(steps, ClockStep(step))
	}
	return New(k, s.Seed, rules, steps), nil
}

// LoadFileRules reads a schedule file and returns its rules for file operations.
// It returns no rules if the path is empty, and a *ScheduleError if the file is invalid.
func LoadFileRules(path string) ([]FileRule, error) {
	if path == "" {
		return nil, nil
	}
	s, err := readSchedule(path)
	if err != nil {
		return nil, err
	}
	return s.Files, nil
}

// readSchedule reads and validates a schedule file.
func readSchedule(path string) (*schedule, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read fault schedule: %w", err)
	}
	var s schedule
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, &ScheduleError{File: path, Reason: err.Error()}
	}
	if invalid, reason := s.resolve(); invalid != "" {
		return nil, &ScheduleError{File: path, Path: invalid, Reason: reason}
	}
	return &s, nil
}

// resolve looks up the names of system calls and errors.
// It returns the JSON path of the first unknown name and the reason, or two empty strings if all names are known.
func (s *schedule) resolve() (invalidPath, reason string) {
	for i := range s.Files {
		rule := &s.Files[i]
		var known bool
		rule.errno, known = errnos[rule.ErrnoName]
		if !known && rule.ErrnoName != "" {
			return fmt.Sprintf("files[%d].errno", i), fmt.Sprintf("unknown errno name %q", rule.ErrnoName)
		}
	}
	for i := range s.Rules {
		rule := &s.Rules[i]
		if !calls[rule.Call] {
			return fmt.Sprintf("rules[%d].call", i), fmt.Sprintf("unknown system call %q", rule.Call)
		}
		if _, known := errnos[rule.ErrnoName]; !known {
			return fmt.Sprintf("rules[%d].errno", i), fmt.Sprintf("unknown errno name %q", rule.ErrnoName)
		}
	}
	return "", ""
}
