package origin

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}
