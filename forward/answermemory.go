package forward

import (
	"io"

	"github.com/trefoillug/trefoillug/progress"
)

// AnswerMemory bounds the memory of answers that are read completely before they are relayed, over all requests.
type AnswerMemory interface {
	// TryAdd counts n bytes and reports whether there is memory for them.
	TryAdd(n int) bool
	// Remove returns n bytes.
	Remove(n int)
}

// heldAnswer is the start of an answer that is held in memory.
type heldAnswer struct {
	memory  AnswerMemory // nil: no bound
	body    []byte
	counted int
	// short is set if memory did not suffice for the rest, which is then relayed as it arrives.
	short bool
}

func (h *heldAnswer) reserve(n int) bool {
	if h.memory == nil {
		return true
	}
	if !h.memory.TryAdd(n) {
		return false
	}
	h.counted += n
	return true
}

// read reads up to n bytes from source, or fewer if memory is short.
func (h *heldAnswer) read(source io.Reader, n int) (err error) {
	h.body, h.short, err = progress.ReadHeld(source, n, h.reserve)
	return err
}

// release returns the memory.
func (h *heldAnswer) release() {
	h.body = nil
	if h.counted > 0 {
		h.memory.Remove(h.counted)
		h.counted = 0
	}
}
