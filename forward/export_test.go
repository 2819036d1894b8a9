package forward

// Running returns the number of requests in the window of a service.
func (f *Forwarder) Running(service string) int {
	a := f.admissions.of(service)
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.service.Window().Running()
}
