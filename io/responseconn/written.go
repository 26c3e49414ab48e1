package responseconn

// headEnd ends the head of a request. Nothing before it in a head contains it.
const headEnd = "\r\n\r\n"

// written counts the bytes of a request that were written.
type written struct {
	// matched is how many bytes of headEnd the head written so far ends with, and body counts the bytes behind it.
	matched    int
	body       int64
	bodyLength int64
}

// add counts further bytes.
func (w *written) add(p []byte) {
	for i, b := range p {
		switch {
		case w.matched == len(headEnd):
			w.body += int64(len(p) - i)
			return
		case b == headEnd[w.matched]:
			w.matched++
		case b == headEnd[0]:
			w.matched = 1
		default:
			w.matched = 0
		}
	}
}

// isWhole reports whether the whole request was written.
func (w *written) isWhole() bool {
	return w.matched == len(headEnd) && w.bodyLength >= 0 && w.body >= w.bodyLength
}
