// Package move shifts the traffic of services from one version to another, by a committed plan and by the evidence
// (counted attempts) of all instances. It does no I/O, starts no goroutine and reads no clock: time is passed to each
// call. It isn't safe for concurrent use.
//
// The share of the new version depends on plan, time and evidence. It stays small until enough attempts have been
// observed on each route with traffic, and then rises fast. It rises only while the evidence of the other instances is
// fresh and nothing indicates a fault. Both versions are compared per route and load class by conditional likelihood
// ratios of batches of attempts. These tests stay valid however often they are evaluated. At the deadline, exact tests that
// need fewer events are evaluated once.
//
// A fault aborts the move: the instance that finds it sets its share to zero, notifies the others, and proposes the
// outcome "rolled back". An abort is never withdrawn. Without a fault, each instance decides on its own at the end of
// the ramp or at the deadline and proposes its decision. The first conditional create of the outcome object settles
// the move. Until then, an instance keeps the share of its own decision (1 or 0), and an abort replaces a decision for
// "done". The recorded outcome overrides the instance's decision, with one exception: an instance that has recorded an
// abort keeps the share at zero even if the outcome "done" is recorded, and proposes a move back, which is recorded as
// the move "<id>-back".
//
// After "done" the old version is kept for a watch period, at least until the deadline. As it gets no more traffic, the
// new version is then compared with the attempts on both versions before all traffic moved.
package move
