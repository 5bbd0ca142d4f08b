package state

// Fresh returns a copy of v that has not been encoded, so that tests see what
// the view holds now and not what it held when it was encoded first.
func (v *View) Fresh() *View {
	c := *v
	c.encoded = &encoded{}
	return &c
}
