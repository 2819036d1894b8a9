package progress

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
)

// Guards against bytes of an answer that are lost or doubled where its memory grows, at its limit or where memory is short.
func TestReadHeld_KeepsBytes(t *testing.T) {
	text := make([]byte, 40<<10)
	for i := range text {
		text[i] = byte(i * 7 >> 3)
	}
	for _, limit := range []int{0, 1, firstHeldBlock, firstHeldBlock + 1, len(text) - 1, len(text), len(text) + 1} {
		for _, memory := range []int{-1, 0, firstHeldBlock, 12 << 10} {
			source := iotest.HalfReader(bytes.NewReader(text))
			left := memory
			reserve := func(n int) bool {
				if n > left {
					return false
				}
				left -= n
				return true
			}
			if memory < 0 {
				reserve = nil
			}
			held, short, err := ReadHeld(source, limit, reserve)
			must.NoError(t, err)
			must.LessEq(t, limit, len(held))
			if !short {
				must.Len(t, min(limit, len(text)), held)
			}
			if memory >= 0 {
				must.LessEq(t, memory+firstHeldBlock, cap(held))
			}
			rest, err := io.ReadAll(source)
			must.NoError(t, err)
			must.Eq(t, text, append(held, rest...))
		}
	}
	_, _, err := ReadHeld(iotest.ErrReader(io.ErrUnexpectedEOF), 10, nil)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
