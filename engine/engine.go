// Package engine defines the wire types of the model engine protocol. An engine sends the response header of a stream
// at once, and SSE comments while a request waits for a slot or for the processing of its prompt, so that a stream
// without any bytes means a stalled connection.
package engine

import "encoding/json"

// Paths of the engine protocol.
const (
	PathChat     = "/v1/chat/completions"
	PathCancel   = "/cancel"
	PathKVExport = "/kv/export"
	PathKVImport = "/kv/import"
	PathLoad     = "/load"
	PathEvents   = "/events"
	PathOrders   = "/orders"
)

// Headers that identify a request and one attempt to run it.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttemptID = "X-Attempt-Id"
)

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat completion. Engines ignore fields that they don't know.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
	Seed      uint64    `json:"seed"`
	Priority  int       `json:"priority,omitempty"`
	Resume    *Resume   `json:"resume,omitempty"`
}

// Resume asks an engine to continue an answer that has been partially delivered.
type Resume struct {
	Offset int    `json:"offset"` // tokens delivered
	Text   string `json:"text"`   // their text
}

// Finish reasons of a stream.
const (
	FinishStop  = "stop"  // the answer is complete
	FinishMoved = "moved" // the KV cache was exported and the answer continues at another engine
)

// StreamEvent is one server-sent event of an answer. Seq counts tokens from the start of the answer, also after a
// resume. The event with a finish reason carries no token.
type StreamEvent struct {
	RequestID    string `json:"request_id"`
	AttemptID    string `json:"attempt_id"`
	Seq          int    `json:"seq"`
	Content      string `json:"content"`
	FinishReason string `json:"finish_reason,omitempty"`
	Usage        *Usage `json:"usage,omitempty"` // on the first event of an attempt
}

// Usage holds the token counts of an attempt.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	RecomputedTokens int `json:"recomputed_tokens"` // tokens computed again because of a resume
}

// AttemptRef identifies an attempt; it is the body of cancel and KV export calls.
type AttemptRef struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
}

// KV is the exported KV cache of a request.
type KV struct {
	RequestID string          `json:"request_id"`
	Offset    int             `json:"offset"` // tokens of the answer that the cache covers
	State     json.RawMessage `json:"state"`  // opaque to all but engines
}

// LoadReport is the answer of the load call. It lags behind the engine's state.
type LoadReport struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	KVUsed  float64 `json:"kv_used"` // share of the KV cache in use, 0 to 1
	AtMS    int64   `json:"at_ms"`   // Unix time in milliseconds
}

// CacheEvent reports a change of an engine's prefix cache. Events arrive late, and IDs may have gaps.
type CacheEvent struct {
	ID     uint64 `json:"id"`
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"` // false: evicted
}

// Order instructs an engine to change its role, model, adapter or version.
type Order struct {
	Fence   uint64 `json:"fence"` // fencing token of the lease under which the order was given
	Role    string `json:"role,omitempty"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}

// Serving is the answer of GET PathOrders: the state of the engine after the accepted orders.
type Serving struct {
	Fence   uint64 `json:"fence"`             // highest fencing token received
	Version string `json:"version,omitempty"` // version that is loaded
	Loading string `json:"loading,omitempty"` // version that is being loaded
}
