package standin

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

var vocabulary = strings.Fields(`steam linen press rinse starch collar fold bundle sort tag quote pickup stain soak
	dry iron sleeve hem wash label print batch harbour dawn van flour sugar egg nut milk draft check word line`)

// answerText computes the token at each offset of an answer.
type answerText struct{ seed, prompt uint64 }

func newAnswerText(seed uint64, prompt []string) answerText {
	return answerText{seed: seed, prompt: xxhash.Sum64String(strings.Join(prompt, " "))}
}

func (t answerText) token(offset int) string {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], t.seed)
	binary.LittleEndian.PutUint64(b[8:], t.prompt)
	binary.LittleEndian.PutUint64(b[16:], uint64(offset))
	return vocabulary[xxhash.Sum64(b[:])%uint64(len(vocabulary))] + " "
}

func (t answerText) upTo(offset int) string {
	var b strings.Builder
	for i := range offset {
		b.WriteString(t.token(i))
	}
	return b.String()
}

// EngineText returns the first n tokens of the answer to a prompt.
func EngineText(seed uint64, prompt string, n int) string {
	return newAnswerText(seed, strings.Fields(prompt)).upTo(n)
}
