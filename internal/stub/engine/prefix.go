package engine

import "container/list"

// prefixCache remembers the last distinct prompt prefixes.
type prefixCache struct {
	size  int
	order *list.List // of string, newest first
	known map[string]*list.Element
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), known: make(map[string]*list.Element)}
}

// use reports whether the prompt's prefix is cached, and caches it.
func (c *prefixCache) use(prompt string) bool {
	prefix := prompt[:min(len(prompt), prefixBytes)]
	if element, hit := c.known[prefix]; hit {
		c.order.MoveToFront(element)
		return true
	}
	c.known[prefix] = c.order.PushFront(prefix)
	if c.order.Len() > c.size {
		oldest := c.order.Back()
		delete(c.known, c.order.Remove(oldest).(string))
	}
	return false
}
