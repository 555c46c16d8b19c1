package engine

import "container/list"

// prefixCache is an LRU cache of prompt prefixes.
type prefixCache struct {
	size      int
	byRecency *list.List // of strings, most recently used first
	entries   map[string]*list.Element
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, byRecency: list.New(), entries: make(map[string]*list.Element)}
}

// use reports whether the prompt's prefix is cached, and adds it if not.
func (c *prefixCache) use(prompt string) bool {
	prefix := prompt[:min(len(prompt), prefixBytes)]
	if element, hit := c.entries[prefix]; hit {
		c.byRecency.MoveToFront(element)
		return true
	}
	c.entries[prefix] = c.byRecency.PushFront(prefix)
	if c.byRecency.Len() > c.size {
		oldest := c.byRecency.Back()
		delete(c.entries, c.byRecency.Remove(oldest).(string))
	}
	return false
}
