package counter

import "testing"

func TestSet(t *testing.T) {
	var s Set
	a := s.New("a")
	s.New("b")
	s.Reading("r", func() uint64 { return 7 })
	a.Inc()
	a.Inc()
	if got := s.String(); got != "a=2 b=0 r=7" {
		t.Errorf("%q", got)
	}
	for name, want := range map[string]uint64{"a": 2, "b": 0, "r": 7} {
		if v, ok := s.Value(name); !ok || v != want {
			t.Errorf("%s is %d, %v", name, v, ok)
		}
	}
	if _, ok := s.Value("none"); ok {
		t.Error("a counter that nobody made")
	}
}
