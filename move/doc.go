// Package move shifts the traffic of services between versions by a committed plan and by the evidence of all
// instances. It has no clock, I/O or goroutine; time arrives with each call. It isn't safe for concurrent use.
//
// The share of the new version follows from plan, time and evidence. Until each route with traffic has been seen
// enough, it stays small; then the ramp is fast. It rises only while the evidence of the other instances is fresh and
// nothing points to a fault. Evidence compares both versions per route and load class by conditional likelihood
// ratios of batches, which are valid at every look.
//
// A fault aborts the move: the instance that finds it sets its share to zero, tells the others, and proposes the
// outcome "rolled back". An abort is sticky. Otherwise each instance decides by itself, done at the end of the ramp
// or at the deadline, and proposes that. The first conditional create of the outcome object decides. Until then an
// instance keeps the share of its own decision (1 or 0), and an abort replaces a decision for "done". A recorded
// outcome overrides the own decision, with one exception: an instance that knows of an abort keeps the share at zero
// after a recorded "done" and proposes a move back, recorded as the move "<id>-back".
//
// After "done" the old version is kept for a watch period, at least until the deadline. The new version is then
// compared with its own past and the old version's, as there is nothing else to compare with.
package move
