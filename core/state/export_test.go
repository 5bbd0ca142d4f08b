package state

// WithoutCache returns a copy of v that has not been encoded, so that tests see what
// the view holds now and not what it held when it was encoded first.
func (v *View) WithoutCache() *View {
	c := *v
	c.cache = &snapshotCache{}
	return &c
}
