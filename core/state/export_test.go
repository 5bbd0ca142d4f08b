package state

// WithoutCache returns a copy of v without its cached encoding, so that Snapshot encodes
// the current content of the view and not that of the first call.
func (v *View) WithoutCache() *View {
	c := *v
	c.cache = &snapshotCache{}
	return &c
}
