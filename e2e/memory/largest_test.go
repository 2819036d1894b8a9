package memory

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against bounds so low that the smallest machine refuses a single request inside the limits in calm, with an announced
// length or in chunks.
func TestNode_LargestBody(t *testing.T) {
	p, front, _, _ := startNode(t, smallFds)
	body := make([]byte, nodeBodyLimit)
	for _, framed := range []io.Reader{bytes.NewReader(body), io.MultiReader(bytes.NewReader(body))} {
		model := front.ordinary()
		req, err := http.NewRequest(http.MethodPost, model.URL.String(), framed)
		must.NoError(t, err)
		req.Host, req.Header = model.Host, model.Header
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
	p.check()
}
