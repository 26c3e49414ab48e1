package event

// Ticked is the periodic timer event, due every 100 ms.
type Ticked struct {
	// Server is the backend server whose lease holder receives the event; empty means the whole host.
	Server string
}

func (Ticked) event() {}

// ServerName implements [ServerEvent].
func (e Ticked) ServerName() string { return e.Server }
