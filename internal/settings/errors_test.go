package settings

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"

	"salttrack/balance"
	"salttrack/internal/settings/settingstest"
)

// decodeSettings decodes settings given as path=value lines.
func decodeSettings(text string) (Settings, error) {
	document, err := ParseLines([]byte(text))
	if err != nil {
		return Settings{}, err
	}
	return Decode(document)
}

// decodeLines returns the error of decoding settings given as path=value lines.
func decodeLines(text string) error {
	_, err := decodeSettings(text)
	return err
}

// decodeJSON returns the error of decoding settings given as JSON.
func decodeJSON(text string) error {
	document, err := ParseJSON([]byte(text))
	if err != nil {
		return err
	}
	_, err = Decode(document)
	return err
}

// Operators and their tools read the texts of settings errors, so the test compares the complete texts.
func TestErrorTextsOfLines(t *testing.T) { //revive:disable-line:function-length a table of cases
	for _, tt := range []struct{ change, want string }{
		{"unknown.key=1", ""},
		{"zone=", "setting zone is missing"},
		{"me=", "setting me is missing"},
		{"replicas_of_me=x", `setting replicas_of_me="x" is not a number`},
		{"me=-1", `setting me="-1" is not an integer from 0 to 1048576`},
		{"me=0.5", `setting me="0.5" is not an integer from 0 to 1048576`},
		{"me=1e99", `setting me="1e99" is not an integer from 0 to 1048576`},
		{"stage=first", `setting stage="first" is not a number`},
		{"over_share_worth=much", `setting over_share_worth="much" is not a number`},
		{"discovery=", "setting discovery is missing"},
		{"discovery=guess", `setting discovery="guess" is not one of the allowed values: ask, push`},
		{"granularity_ms=", "setting granularity_ms is missing"},
		{"granularity_ms=NaN", `setting granularity_ms="NaN" is not a number`},
		{"granularity_ms=1e999", `setting granularity_ms="1e999" is not a number`},
		{"invariants.start_capacity=", "setting invariants.start_capacity is missing"},
		{"invariants.cold_ms=long", `setting invariants.cold_ms="long" is not a number`},
		{"invariants.fall_multiple=", "setting invariants.fall_multiple is missing"},
		{"invariants.fall_ms=", "setting invariants.fall_ms is missing"},
		{"limits.max_attempts=", "setting limits.max_attempts is missing"},
		{"limits.max_attempts=0", "setting limits.max_attempts=0 is out of range: must be at least 1"},
		{"limits.cancel=", "setting limits.cancel is missing"},
		{"limits.cancel=maybe", `setting limits.cancel="maybe" is not a boolean: must be true or false`},
		{"limits.second_copies=1", `setting limits.second_copies="1" is not a boolean: must be true or false`},
		{"limits.retry_after=", "setting limits.retry_after is missing"},
		{"limits.max_retry_after_ms=", "setting limits.max_retry_after_ms is missing"},
		{"limits.connect_timeout_ms=soon", `setting limits.connect_timeout_ms="soon" is not a number`},
		{"limits.keepalive_ms=long", `setting limits.keepalive_ms="long" is not a number`},
		{"zone=elsewhere", `setting zone="elsewhere" is not a number`},
		{"tenants.count=many", `setting tenants.count="many" is not a number`},
		{"tenants.count=-1", `setting tenants.count="-1" is not an integer from 0 to 1048576`},
		{"classes.count=", "setting classes.count is missing"},
		{"classes.count=0", "setting classes has 0 entries: must have 1 to 256"},
		{"classes.count=3", "setting classes.2.on_time_ms is missing"},
		{"classes.count=1048576", "setting classes.2.on_time_ms is missing"},
		{"classes.count=1048577", `setting classes.count="1048577" is not an integer from 0 to 1048576`},
		{"classes.0.on_time_ms=", "setting classes.0.on_time_ms is missing"},
		{"classes.0.on_time_ms=0", "setting classes.0.on_time_ms=0 is out of range: must be greater than 0"},
		{"classes.0.deadline_ms=0", "setting classes.0.deadline_ms=0 is out of range: must be greater than 0"},
		{"classes.1.deadline_ms=-5.5", "setting classes.1.deadline_ms=-5.5 is out of range: must be greater than 0"},
		{"classes.1.deadline_ms=-1e30", "setting classes.1.deadline_ms=-1e+30 is out of range: must be greater than 0"},
		{"classes.1.deadline_ms=NaN", `setting classes.1.deadline_ms="NaN" is not a number`},
		{"classes.1.worth=dear", `setting classes.1.worth="dear" is not a number`},
		{"classes.1.worth=-1", "setting classes.1.worth=-1 is out of range: must be 0 or greater"},
		{"classes.1.worth=0", ""},
		{"classes.0.late_value=some", `setting classes.0.late_value="some" is not a number`},
		{"classes.0.streamed=perhaps", `setting classes.0.streamed="perhaps" is not a boolean: must be true or false`},
		{"classes.0.idempotency=", "setting classes.0.idempotency is missing"},
		{"classes.0.idempotency=safe", `setting classes.0.idempotency="safe" is not one of the allowed values: dedup, fragile, retryable`},
		{"classes.0.idempotency=dedup", "setting classes.0.window_ms is missing"},
		{"classes.1.group=", "setting classes.1.group is missing"},
		{"classes.1.group=city", `setting classes.1.group="city" is not one of the allowed values: all, cell, zone`},
		{"classes.1.window_ms=0", "setting classes.1.window_ms=0 is out of range: must be greater than 0"},
		{"classes.1.name=read", `setting classes.1.name="read" is already the name of another class`},
	} {
		text := settingstest.Lines("classes.0.name=read", "classes.1.name=pay", tt.change)
		settingstest.CheckErrorText(t, tt.change, decodeLines(text), tt.want)
	}
	valid := settingstest.Lines()
	settingstest.CheckErrorText(t, "no equals sign", decodeLines("\n"+"nonsense\n"+valid), "settings line 2 has no '='")
	settingstest.CheckErrorText(t, "two lines without an equals sign", decodeLines("a=1\nb\n\nc\n"), "settings line 2 has no '='")
	settingstest.CheckErrorText(t, "only the first error is returned", decodeLines("me=x\nzone=y\n"), `setting me="x" is not a number`)
	settingstest.CheckErrorText(t, "empty", decodeLines(""), "setting me is missing")
}

func TestErrorTextsOfJSON(t *testing.T) { //revive:disable-line:function-length a table of cases
	valid, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ old, replacement, want string }{
		{"", "", ""},
		{`"me": 0`, `"me": "0"`, `setting me="0" is not a number`},
		{`"me": 0`, `"me": null`, "setting me is missing"},
		{`"me": 0`, `"me": {"a": 1}`, "setting me is missing"},
		{`"me": 0`, `"me": true`, `setting me="true" is not a number`},
		{`"me": 0`, `"me": [0]`, ""},
		{`"me": 0`, `"me": []`, `setting me="" is not a number`},
		{`"me": 0`, `"me": [1, 2]`, `setting me="1,2" is not a number`},
		{`"me": 0`, `"me": [[1, 2]]`, `setting me="[1 2]" is not a number`},
		{`"me": 0`, `"me": 1e400`, `setting me="1e400" is not a number`},
		{`"zone": 0`, `"zone": "there"`, ""},
		{`"zone": 0`, `"zone": "over, there"`, `setting zone="over__there" is not a number`},
		{`"discovery": "push"`, `"discovery": 7`, `setting discovery="7" is not one of the allowed values: ask, push`},
		{`"cancel": true`, `"cancel": "true"`, `setting limits.cancel="true" is not a boolean: must be true or false`},
		{`"cancel": true`, `"cancel": 1`, `setting limits.cancel="1" is not a boolean: must be true or false`},
		{`"limits": {`, `"limitations": {`, "setting limits.max_attempts is missing"},
		{`"max_attempts": 6`, `"max_attempts": 0`, "setting limits.max_attempts=0 is out of range: must be at least 1"},
		{`"start_capacity": 0.3`, `"start_capacity": "a lot"`, `setting invariants.start_capacity="a_lot" is not a number`},
		{`"quota_per_s": 40.5`, `"quota_per_s": "x"`, `setting tenants.0.quota_per_s="x" is not a number`},
		{`"quota_per_s": 40.5`, `"other": 1`, ""},
		{`"classes": [`, `"categories": [`, "setting classes.count is missing"},
		{`"name": "pay"`, `"name": "read"`, `setting classes.1.name="read" is already the name of another class`},
		{`"worth": 12`, `"worth": -12`, "setting classes.0.worth=-12 is out of range: must be 0 or greater"},
		{`"worth": 12, `, ``, "setting classes.0.worth is missing"},
		{`"group": "zone"`, `"group": "zones"`, `setting classes.1.group="zones" is not one of the allowed values: all, cell, zone`},
		{`"window_ms": 700`, `"window_ms": 0`, "setting classes.1.window_ms=0 is out of range: must be greater than 0"},
		{`"retryable"`, `["retryable"]`, ""},
		{`{"name": "read"`, `7, {"name": "read"`, "setting classes.0.on_time_ms is missing"},
	} {
		text := strings.Replace(string(valid), tt.old, tt.replacement, 1)
		settingstest.CheckErrorText(t, tt.old+" -> "+tt.replacement, decodeJSON(text), tt.want)
	}
	for _, tt := range []struct{ text, want string }{
		{"", "settings: not a valid JSON object: EOF"},
		{"{", "settings: not a valid JSON object: unexpected EOF"},
		{"{]", "settings: not a valid JSON object: invalid character ']' looking for beginning of object key string"},
		{"[1]", "settings: not a valid JSON object: json: cannot unmarshal array into Go value of type map[string]interface {}"},
		{"7", "settings: not a valid JSON object: json: cannot unmarshal number into Go value of type map[string]interface {}"},
		{"null", "setting me is missing"},
		{"{}", "setting me is missing"},
		{`{"me": 1} trailing`, "setting replicas_of_me is missing"},
	} {
		settingstest.CheckErrorText(t, tt.text, decodeJSON(tt.text), tt.want)
	}
}

// There are 256 class numbers. The number of a removed class with requests in progress can't be assigned to a new class.
func TestErrorTextOfExhaustedClassNumbers(t *testing.T) {
	running := Settings{ClassNames: make([]string, 256)}
	running.Classes = make([]balance.Class, 256)
	next := Settings{ClassNames: []string{"new"}}
	next.Classes = make([]balance.Class, 1)
	_, err := next.WithClassNumbers(running, func(uint8) bool { return true })
	settingstest.CheckErrorText(t, "all in use", err, "setting classes: no number is free for a new class: all 256 are held "+
		"by running classes, or by removed classes with requests in progress")
	running.Classes[7].Removed = true
	_, err = next.WithClassNumbers(running, func(uint8) bool { return false })
	settingstest.CheckErrorText(t, "one is free", err, "")
}

func TestErrorFields(t *testing.T) {
	for _, tt := range []struct {
		change string
		want   Error
	}{
		{"zone=", Error{Path: "zone", Reason: ErrMissing}},
		{"me=x", Error{Path: "me", Value: "x", Reason: ErrNotNumber}},
		{"me=-1", Error{Path: "me", Value: "-1", Reason: ErrNotInteger}},
		{"limits.cancel=1", Error{Path: "limits.cancel", Value: "1", Reason: ErrNotBoolean}},
		{"discovery=guess", Error{"discovery", "guess", "ask, push", ErrUnknownValue}},
		{"limits.max_attempts=0", Error{"limits.max_attempts", "0", "must be at least 1", ErrOutOfRange}},
		{"classes.1.deadline_ms=0", Error{"classes.1.deadline_ms", "0", "must be greater than 0", ErrOutOfRange}},
		{"classes.count=0", Error{"classes", "0", "must have 1 to 256", ErrClassCount}},
		{"classes.1.name=read", Error{Path: "classes.1.name", Value: "read", Reason: ErrDuplicateClass}},
	} {
		err := decodeLines(settingstest.Lines("classes.0.name=read", tt.change))
		var got *Error
		if !errors.As(err, &got) || *got != tt.want || !errors.Is(err, tt.want.Reason) {
			t.Errorf("%s: %#v, want %#v", tt.change, got, tt.want)
		}
	}
}

func TestSyntaxErrorFields(t *testing.T) {
	var syntax *SyntaxError
	if err := decodeLines("a=1\nb"); !errors.As(err, &syntax) || syntax.Line != 2 {
		t.Errorf("lines: %#v", err)
	}
	var cause *json.SyntaxError
	if err := decodeJSON("{]"); !errors.As(err, &syntax) || syntax.Line != 0 || !errors.As(err, &cause) || cause.Offset != 2 {
		t.Errorf("JSON: %#v", err)
	}
}

func TestValidateNames(t *testing.T) {
	named, err := decodeSettings(settingstest.Lines("classes.0.name=read", "classes.1.name=pay"))
	if err != nil {
		t.Fatal(err)
	}
	if err := named.ValidateNames(); err != nil {
		t.Error(err)
	}
	named.ClassNames[1] = ""
	settingstest.CheckErrorText(t, "second class without a name", named.ValidateNames(), "setting classes.1.name is missing")
}
