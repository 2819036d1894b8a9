// Package intake reads the bodies of requests and the messages of peers into memory that is bounded for the whole process.
// What is read counts until it is released.
package intake

import (
	"errors"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/graceful"
	"github.com/trefoillug/trefoillug/memlimit"
)

const (
	// memoryShare divides the memory of the machine to get the bound for what is read. The Go runtime needs up to twice the
	// memory that is in use, and may have six tenths of the machine; connections and the rest of the process need a fifth.
	memoryShare = 5
	// firstBlock is the memory that is allocated before a byte has arrived.
	firstBlock = 4 << 10
	// maxWait bounds the time for which a request waits for memory before it is refused.
	maxWait = time.Second
	// framingFactor bounds the bytes on the wire of a body in chunks, as a multiple of the limit for the body.
	framingFactor = 2
)

// RetryAfter is the time after which a request that got no memory may be sent again: those that stall have been evicted by
// then.
const RetryAfter = time.Second

var (
	// ErrNoMemory means that there was no memory for a body in time, because other requests hold it.
	ErrNoMemory = errors.New("no memory for the body in time")
	// ErrEvicted means that a body was given up because it held much memory for little progress.
	ErrEvicted = errors.New("body given up: it made little progress while memory was short")
)

// IsShortage reports whether a body was not read because memory is short. The request has not run.
func IsShortage(err error) bool { return errors.Is(err, ErrNoMemory) || errors.Is(err, ErrEvicted) }

// BoundFor returns the bound for the memory of a machine in bytes.
func BoundFor(machineBytes int64) int64 { return machineBytes / memoryShare }

// Memory is the memory for what a process reads. It is safe for concurrent use. A nil *Memory has no bound.
type Memory struct {
	mu      sync.Mutex
	account *memlimit.Account
	events  events
}

// New returns memory with a bound in bytes.
func New(bound int64) *Memory { return &Memory{account: memlimit.New(bound)} }

var unbounded = New(math.MaxInt64 / 2)

func (m *Memory) orUnbounded() *Memory {
	if m == nil {
		return unbounded
	}
	return m
}

// SetBound changes the bound.
func (m *Memory) SetBound(bound int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.SetBound(bound)
}

// Used returns the bytes in use.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.account.Used()
}

// TryAdd counts n bytes of an answer and reports whether there is memory for them. Return them by Remove.
func (m *Memory) TryAdd(n int) bool {
	m = m.orUnbounded()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.account.TryAdd(int64(n))
}

// Remove returns n bytes that TryAdd has counted.
func (m *Memory) Remove(n int) {
	m = m.orUnbounded()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Remove(int64(n))
}

// EvictOneStalled gives up the body that holds most memory for least progress, if there is a stalled one.
func (m *Memory) EvictOneStalled() {
	m.mu.Lock()
	h := m.account.EvictOneStalled(time.Now())
	m.mu.Unlock()
	if h != nil {
		m.evict([]*memlimit.Hold{h})
	}
}

func (m *Memory) evict(holds []*memlimit.Hold) {
	for _, h := range holds {
		h.Owner.(*Body).giveUp()
		m.mu.Lock()
		bytes := h.Bytes()
		m.mu.Unlock()
		m.events.record(eventEvicted, bytes)
	}
}

// Body is what was read of a request or message. A nil *Body is empty.
type Body struct {
	memory  *Memory
	hold    *memlimit.Hold
	bytes   []byte
	exempt  int64  // bytes of the current memory that are not counted
	evict   func() // ends a read in progress
	evicted chan struct{}
	once    sync.Once
}

// Bytes returns the content. It no longer counts after Release, so it must not be kept for long then.
func (b *Body) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.bytes
}

// Release returns the memory. It may be called more than once.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.memory.account.Close(b.hold)
}

// TryGrow counts n more bytes that are held for the request and released with its body, such as of its answer. It reports
// whether there is memory for them.
func (b *Body) TryGrow(n int) bool {
	if b == nil {
		return true
	}
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	return b.memory.account.TryGrowInCalm(b.hold, int64(n))
}

// Grow counts n more bytes that are derived from the body and released with it.
func (b *Body) Grow(n int) error {
	if b == nil {
		return nil
	}
	return b.memory.acquire(b, int64(n))
}

func (b *Body) giveUp() {
	b.once.Do(func() {
		close(b.evicted)
		b.evict()
	})
}

// complete records that all of a body was received.
func (m *Memory) complete(b *Body) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Complete(b.hold)
}

func (m *Memory) open(priority int, evict func()) *Body {
	b := &Body{memory: m, evict: evict, evicted: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	b.hold = m.account.Open(time.Now(), priority, b)
	return b
}

// Options describe a body that is read.
type Options struct {
	Limit    int64     // bytes of the body
	End      time.Time // when it must have arrived
	Priority int       // of the request; 0 is the most urgent
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// ReadBody reads the body of a request. It returns an *http.MaxBytesError if it is too large or announced so, and
// ErrNoMemory or ErrEvicted if memory is short. After an error the answer closes the connection, and no more of the body is
// read.
func (m *Memory) ReadBody(w http.ResponseWriter, r *http.Request, o Options) (*Body, error) {
	m = m.orUnbounded()
	if r.Body == nil || r.Body == http.NoBody {
		b := m.open(o.Priority, func() {})
		m.complete(b)
		return b, nil
	}
	rc := http.NewResponseController(w)
	refuse := func(err error) (*Body, error) {
		w.Header().Set("Connection", "close")
		// Errors are ignored here and below: writers without a connection do not support deadlines.
		_ = rc.SetReadDeadline(past)
		return nil, err
	}
	if r.ContentLength > o.Limit {
		m.events.record(eventAnnouncedTooLarge, r.ContentLength)
		return refuse(&http.MaxBytesError{Limit: o.Limit})
	}
	_ = rc.SetReadDeadline(o.End)
	b := m.open(o.Priority, func() { _ = rc.SetReadDeadline(past) })
	most := o.Limit
	check := m.framingCheck(r, o.Limit)
	if r.ContentLength >= 0 {
		most, check = r.ContentLength, nil
	}
	if err := b.fill(http.MaxBytesReader(w, r.Body, o.Limit), most, check); err != nil {
		b.Release()
		return refuse(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return b, nil
}

// framingCheck returns a function that fails if a body in chunks has taken too many bytes on the wire.
func (m *Memory) framingCheck(r *http.Request, limit int64) func() error {
	begin := graceful.BytesRead(r.Context())
	return func() error {
		if graceful.BytesRead(r.Context())-begin <= framingFactor*limit+firstBlock {
			return nil
		}
		m.events.record(eventFraming, limit)
		return &http.MaxBytesError{Limit: limit}
	}
}

// ReadMessage reads a message of at most limit bytes. evict ends a read in progress. The first block is not counted: it holds
// most messages, which would else wait for memory and end their connection while requests hold all of it. The bound for
// connections bounds their sum.
func (m *Memory) ReadMessage(r io.Reader, limit int64, evict func()) (*Body, error) {
	m = m.orUnbounded()
	b := m.open(0, evict)
	b.exempt = min(firstBlock, limit)
	b.bytes = make([]byte, 0, b.exempt)
	if err := b.fill(r, limit, nil); err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

// fill reads until the end of r into memory that grows with what has arrived, up to most bytes. check is called after each
// read, unless it is nil.
func (b *Body) fill(r io.Reader, most int64, check func() error) error {
	for {
		var space []byte
		if len(b.bytes) == cap(b.bytes) && int64(len(b.bytes)) >= most {
			space = make([]byte, 1) // the end is still to be read
		} else if err := b.ensureSpace(most); err != nil {
			return err
		} else {
			space = b.bytes[len(b.bytes):cap(b.bytes)]
		}
		n, err := r.Read(space)
		if n > 0 && int64(len(b.bytes)+n) > most {
			return &http.MaxBytesError{Limit: most}
		}
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == nil && check != nil {
			err = check()
		}
		if done, err := b.recordRead(n, err); done {
			return err
		}
	}
}

// recordRead records n bytes that were read and reports whether the read is over.
func (b *Body) recordRead(n int, err error) (done bool, _ error) {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	if b.hold.IsEvicted() {
		return true, ErrEvicted
	}
	b.memory.account.RecordProgress(time.Now(), b.hold, n)
	if err == io.EOF {
		b.memory.account.Complete(b.hold)
		return true, nil
	}
	return err != nil, err
}

// ensureSpace makes sure that there is room for another byte. The memory at most doubles with what has arrived.
func (b *Body) ensureSpace(most int64) error {
	have := cap(b.bytes)
	if len(b.bytes) < have {
		return nil
	}
	size := min(max(2*int64(have), firstBlock), most)
	if err := b.memory.acquire(b, size); err != nil {
		return err
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown[:len(grown):size]
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.memory.account.Shrink(b.hold, int64(have)-b.exempt)
	b.exempt = 0
	return nil
}

// acquire counts n more bytes for a body. If there is no room, it waits for a short time while others are evicted or end.
func (m *Memory) acquire(b *Body, n int64) error {
	now := time.Now()
	m.mu.Lock()
	if b.hold.IsEvicted() {
		m.mu.Unlock()
		return ErrEvicted
	}
	if m.account.TryGrow(b.hold, n) {
		stalled := m.account.EvictStalled(now)
		m.mu.Unlock()
		m.evict(stalled)
		return nil
	}
	waiter, victims := m.account.Wait(now, b.hold, n)
	m.mu.Unlock()
	m.evict(victims)
	m.events.record(eventWaited, n)
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-waiter.Granted:
		return nil
	case <-b.evicted:
	case <-timer.C:
	}
	m.mu.Lock()
	granted, evicted := m.account.Cancel(waiter), b.hold.IsEvicted()
	m.mu.Unlock() // a log line may take long
	switch {
	case evicted:
		return ErrEvicted
	case granted:
		return nil
	}
	m.events.record(eventRefused, n)
	return ErrNoMemory
}
