package continuation_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/continuation"
)

// judge gives the IDs of an answer to a judge, and returns "follows", "cut" if the decision is pending at a broken end, or
// the cause for which the answer is not relayed.
func judge(p continuation.Position, ids string, ends bool) string {
	j := continuation.NewJudge(p)
	err := error(nil)
	for id := range strings.SplitSeq(ids, ",") {
		if id == "end" {
			break
		}
		var follows bool
		if follows, err = j.Add(strings.TrimPrefix(id, "none")); follows {
			return "follows"
		}
		if err != nil {
			break
		}
	}
	if err == nil && !ends {
		return "cut"
	}
	if err == nil {
		err = j.End()
	}
	var refused *continuation.Error
	if errors.As(err, &refused) {
		return string(refused.Cause)
	}
	return "follows"
}

// Guards against a hole or a repetition where the answers of two endpoints are joined, and against a sound answer that is
// not relayed because its IDs are not consecutive.
func TestJudge_Cases(t *testing.T) {
	for _, c := range []struct{ has, offered, whole, cut string }{
		{"1,2", "3", "follows", "follows"},
		{"1,2", "5,6", "gap", "gap"},
		{"1,2", "2,3", "step_back", "step_back"},
		{"1,2", "1,2,3", "step_back", "step_back"},
		{"1,2", "end", "no_events", "cut"},
		{"1,2", "none", "no_position", "no_position"},
		{"1,2", "x", "no_position", "no_position"},
		{"6,12,18", "24", "follows", "follows"},
		{"6,12,18", "19", "follows", "follows"},
		{"6,12,18", "30", "gap", "gap"},
		{"1", "2", "follows", "follows"},
		{"1", "5", "gap", "cut"},
		{"1", "5,6", "gap", "cut"},
		{"1", "5,6,7", "gap", "gap"},
		{"1", "6,11", "follows", "follows"},
		{"5", "10", "follows", "cut"},
		{"0", "5", "gap", "cut"},
		{"0", "1", "follows", "follows"},
		{"5", "10,15", "follows", "follows"},
		{"2", "5,4", "step_back", "step_back"},
		{"2", "4,6", "follows", "follows"},
		{"2", "5,6", "gap", "cut"},
		{"4", "9,16,25", "follows", "follows"},
		{"4", "9,16", "gap", "cut"},
		{"1,4,9", "16", "follows", "follows"},
		{"1,4,9", "9", "step_back", "step_back"},
		{"abc", "def", "follows", "follows"},
		{"abc", "abc", "step_back", "step_back"},
		{"abc", "none", "no_position", "no_position"},
	} {
		t.Run(c.has+" then "+c.offered, func(t *testing.T) {
			var p continuation.Position
			must.True(t, p.IsStart())
			for id := range strings.SplitSeq(c.has, ",") {
				p.Record(id)
			}
			must.Eq(t, c.whole, judge(p, c.offered, true))
			must.Eq(t, c.cut, judge(p, c.offered, false))
		})
	}
}

// Guards against an error that does not say where the stream and the answer stand.
func TestJudge_ErrorNamesPositions(t *testing.T) {
	_, err := continuation.NewJudge(continuation.AfterNumber(7)).Add("9")
	must.EqError(t, err, `the answer does not continue the stream (gap): position "7", offered "9"`)
}
