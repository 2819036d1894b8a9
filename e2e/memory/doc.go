// Package memory tests that processes of the system stay within the memory and the descriptors of their machine when their
// clients respect no limit. It runs one process at a time, built without the race detector, which multiplies memory.
package memory
