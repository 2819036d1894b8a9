package forward_test

import "github.com/trefoillug/trefoillug/routing"

// engine returns the description of engines that can move running requests.
func engine() *routing.Engine { return &routing.Engine{Slots: 8, EventTokens: 1, Moves: true} }
