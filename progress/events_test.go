package progress_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/progress"
)

// Guards against a stream that ends before its first event or within one and looks whole, and a whole one that does not.
func TestEventReader_Cases(t *testing.T) {
	for name, c := range map[string]struct {
		stream string
		whole  bool
	}{
		"nothing":                    {"", false},
		"empty lines":                {"\n\n", false},
		"comment":                    {": wait\n\n", false},
		"within a field":             {"data: a\n\ndata", false},
		"within a comment":           {"data: a\n\n:", false},
		"after a field":              {"data: a\n\ndata: b\n", false},
		"within the end of an event": {"data: a\r\n", false},
		"event":                      {"data: a\n\n", true},
		"event, CR LF":               {"data: a\r\n\r\n", true},
		"event, CR LF, no last LF":   {"data: a\r\n\r", false},
		"event, CR":                  {"data: a\r\rdata: b\r\r", true},
		"event, CR, no last CR":      {"data: a\r\rdata: b\r", false},
		"within a field, CR":         {"data: a\r\rdata", false},
		"comment, CR":                {": wait\r\r", false},
		"event without data":         {"id: 1\n\n", true},
		"event and comment":          {"data: a\n\n: wait\n\n", true},
		"event and empty lines":      {"data: a\n\n\n\n", true},
	} {
		for reader, r := range map[string]io.Reader{
			"at once": strings.NewReader(c.stream), "a byte at a time": iotest.OneByteReader(strings.NewReader(c.stream)),
			"with its end": iotest.DataErrReader(strings.NewReader(c.stream)),
		} {
			b, err := io.ReadAll(&progress.EventReader{Reader: r})
			must.Eq(t, c.stream, string(b), must.Sprint(name, reader))
			if c.whole {
				must.NoError(t, err, must.Sprint(name, reader))
			} else {
				must.ErrorIs(t, err, progress.ErrPartialStream, must.Sprint(name, reader))
			}
		}
	}
}
