package forward_test

import "github.com/trefoillug/trefoillug/routing"

// engine describes engines whose runs can be moved.
func engine() *routing.Engine { return &routing.Engine{Slots: 8, EventTokens: 1, Moves: true} }
