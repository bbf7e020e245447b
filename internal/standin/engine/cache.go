package engine

// maxCachedPrefixes bounds the prefixes that an engine remembers.
const maxCachedPrefixes = 256

// prefixCache holds the most recently used prompt prefixes, the latest last.
type prefixCache struct {
	prefixes []string
}

func newPrefixCache() *prefixCache { return &prefixCache{} }

// touch records a use of a prefix and reports whether it was cached.
func (c *prefixCache) touch(prefix string) bool {
	for i, k := range c.prefixes {
		if k == prefix {
			c.prefixes = append(append(c.prefixes[:i:i], c.prefixes[i+1:]...), prefix)
			return true
		}
	}
	c.prefixes = append(c.prefixes, prefix)
	if len(c.prefixes) > maxCachedPrefixes {
		c.prefixes = c.prefixes[1:]
	}
	return false
}
