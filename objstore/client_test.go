package objstore_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/standin"
)

func newStore(t *testing.T) (*standin.Objects, *objstore.Client) {
	t.Helper()
	objects := standin.NewObjects(standin.ObjectsOptions{})
	server := httptest.NewServer(objects)
	t.Cleanup(server.Close)
	return objects, objstore.NewClient(server.URL, nil)
}

// Guards against a conditional write that takes effect although the object has a newer version.
func TestClient_ConditionalWrites(t *testing.T) {
	_, c := newStore(t)
	ctx := t.Context()
	_, err := c.Get(ctx, "a/b c")
	must.ErrorIs(t, err, objstore.ErrNotFound)
	v1, err := c.Put(ctx, "a/b c", []byte("one"), 0)
	must.NoError(t, err)
	_, err = c.Put(ctx, "a/b c", []byte("two"), 0)
	must.ErrorIs(t, err, objstore.ErrConflict)
	v2, err := c.Put(ctx, "a/b c", []byte("two"), v1)
	must.NoError(t, err)
	must.Greater(t, v1, v2)
	_, err = c.Put(ctx, "a/b c", []byte("three"), v1)
	must.ErrorIs(t, err, objstore.ErrConflict)
	o, err := c.Get(ctx, "a/b c")
	must.NoError(t, err)
	must.Eq(t, objstore.Object{Key: "a/b c", Version: v2, Value: []byte("two")}, o)
	list, err := c.List(ctx, "a/")
	must.NoError(t, err)
	must.Eq(t, []objstore.Object{o}, list)
	_, err = c.Put(ctx, "big", make([]byte, objstore.MaxValueBytes+1), 0)
	must.ErrorIs(t, err, objstore.ErrUnavailable)
}

// Guards against reporting a write that took effect as not applied.
func TestClient_LostResponseIsUnknown(t *testing.T) {
	objects, c := newStore(t)
	objects.SetFaults(standin.Faults{LoseAnswers: 1, LosePrefix: "k"})
	_, err := c.Put(t.Context(), "k", []byte("v"), 0)
	must.ErrorIs(t, err, objstore.ErrUnknownResult)
	o, err := c.Get(t.Context(), "k")
	must.NoError(t, err)
	must.Eq(t, "v", string(o.Value))
}

// Guards against reporting a write that timed out as not applied.
func TestClient_SlowWriteIsUnknown(t *testing.T) {
	objects, c := newStore(t)
	objects.SetFaults(standin.Faults{Slow: standin.Duration(time.Minute)})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Put(ctx, "k", nil, 0)
	must.ErrorIs(t, err, objstore.ErrUnknownResult)
}

// Guards against an error other than those of Store, and against a refused connection classified as a lost response.
func TestClient_Classification(t *testing.T) {
	reads := map[int]error{404: objstore.ErrNotFound, 429: objstore.ErrUnavailable, 500: objstore.ErrUnavailable, 503: objstore.ErrUnavailable, 304: objstore.ErrUnavailable}
	writes := map[int]error{412: objstore.ErrConflict, 413: objstore.ErrUnavailable, 429: objstore.ErrUnavailable, 503: objstore.ErrUnavailable,
		500: objstore.ErrUnknownResult, 502: objstore.ErrUnknownResult, 504: objstore.ErrUnknownResult, 200: objstore.ErrUnknownResult}
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	defer server.Close()
	c := objstore.NewClient(server.URL, nil)
	for code, want := range reads {
		status = code
		_, err := c.Get(t.Context(), "k")
		must.ErrorIs(t, err, want)
	}
	for code, want := range writes {
		status = code
		_, err := c.Put(t.Context(), "k", nil, 1)
		must.ErrorIs(t, err, want)
	}
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, closedListener.Close())
	_, err = objstore.NewClient("http://"+closedListener.Addr().String(), nil).Put(t.Context(), "k", nil, 0)
	must.ErrorIs(t, err, objstore.ErrUnavailable)
}

// Guards against a watch that misses a write or hangs on a stalled connection.
func TestClient_Watch(t *testing.T) {
	objects, c := newStore(t)
	type result struct {
		o   objstore.Object
		err error
	}
	results := make(chan result, 1)
	watch := func(ctx context.Context) {
		o, err := c.Watch(ctx, "k", 0)
		results <- result{o, err}
	}
	go watch(t.Context())
	must.True(t, eventually(func() bool { return objects.Counts().Waiting == 1 }))
	_, err := c.Put(t.Context(), "k", []byte("v"), 0)
	must.NoError(t, err)
	r := <-results
	must.NoError(t, r.err)
	must.Eq(t, "v", string(r.o.Value))
	objects.SetFaults(standin.Faults{StallWatches: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	go watch(ctx)
	must.ErrorIs(t, (<-results).err, objstore.ErrUnavailable)
}

func eventually(ok func() bool) bool {
	for range 500 {
		if ok() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
