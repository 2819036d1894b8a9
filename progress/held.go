package progress

import "io"

// firstHeldBlock is the memory that each answer has without reserving it. It holds most answers of plain services.
const firstHeldBlock = 4 << 10

// ReadHeld reads up to n bytes of an answer that is held in memory. reserve is called for each part of the memory that it
// takes and reports whether there is any; nil: there always is. If there is none, what was read so far is returned with
// short set, and the rest is still to be read.
func ReadHeld(source io.Reader, n int, reserve func(bytes int) bool) (held []byte, short bool, err error) {
	for len(held) < n {
		if have := cap(held); len(held) == have {
			size := min(max(2*have, firstHeldBlock), n)
			if have > 0 && reserve != nil && !reserve(size-have) {
				return held, true, nil
			}
			held = append(make([]byte, 0, size), held...)
		}
		k, err := source.Read(held[len(held):cap(held)])
		held = held[:len(held)+k]
		if err == io.EOF {
			return held, false, nil
		}
		if err != nil {
			return held, false, err
		}
	}
	return held, false, nil
}
