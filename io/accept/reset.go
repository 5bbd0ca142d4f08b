package accept

import "net/http"

// lingerer is implemented by TCP connections.
type lingerer interface {
	SetLinger(sec int) error
}

// SetLinger implements lingerer, if the connection below does.
func (c *conn) SetLinger(sec int) error {
	if l, ok := c.Conn.(lingerer); ok {
		return l.SetLinger(sec)
	}
	return nil
}

// Reset resets the connection of a request whose response has broken off. Aborting
// the handler closes it in the ordinary way, which an HTTP/1.0 client takes for the end
// of a response without a length. The handler must not use w afterwards.
func Reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the server closes the connection
	}
	if l, ok := c.(lingerer); ok {
		l.SetLinger(0) // fails only on a closed connection
	}
	c.Close()
}
