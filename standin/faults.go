package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Duration is a time.Duration that JSON shows as text such as "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return fmt.Errorf("%q is not a duration such as 250ms", text)
	}
	*d = Duration(parsed)
	return nil
}

// Faults are the faults that the object API injects. The zero value means none.
type Faults struct {
	Down            bool           `json:"down"`           // every call and every waiting watch gets status 503
	Slow            Duration       `json:"slow"`           // delay of every call
	LoseAnswers     int            `json:"lose_answers"`   // the next LoseAnswers writes take effect and get no answer
	LosePrefix      string         `json:"lose_prefix"`    // limits LoseAnswers to keys with this prefix
	RevisionsBehind map[string]int `json:"old"`            // number of revisions by which reads of a key are behind
	StallWatches    bool           `json:"silent_watches"` // waiting and new watches get no answer
}

// Counts are the numbers of calls since the start, and of the watches that wait now (Waiting).
type Counts struct {
	Reads   uint64 `json:"reads"` // gets, lists and opened watches
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"` // opened
	Waiting int    `json:"waiting"`
	Limited uint64 `json:"limited"` // refused by a rate limit
}

// consumeLostAnswer reports whether the answer to a write of key is to be lost. If so, it decrements LoseAnswers.
func (f *Faults) consumeLostAnswer(key string) bool {
	if f.LoseAnswers == 0 || !strings.HasPrefix(key, f.LosePrefix) {
		return false
	}
	f.LoseAnswers--
	return true
}

// Faults returns the current faults.
func (s *Objects) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces all faults.
func (s *Objects) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.broadcast()
}

// Counts returns a copy of the counts.
func (s *Objects) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Objects) postFaults(w http.ResponseWriter, r *http.Request) {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes))
	dec.DisallowUnknownFields()
	var f Faults
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Objects) getCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) }
