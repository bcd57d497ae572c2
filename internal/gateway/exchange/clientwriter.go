package exchange

import "net/http"

// clientWriter writes the response to the client.
type clientWriter struct {
	w http.ResponseWriter
	// headerWritten is true once the status line and headers were written.
	headerWritten bool
}

// writeHeader writes the status line and headers, once.
func (c *clientWriter) writeHeader(status int) {
	if c.headerWritten {
		return
	}
	c.headerWritten = true
	c.w.WriteHeader(status)
}

func (c *clientWriter) write(data []byte) error {
	_, err := c.w.Write(data)
	return err
}

func (c *clientWriter) flush() error {
	return http.NewResponseController(c.w).Flush()
}
