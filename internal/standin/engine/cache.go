package engine

// prefixCacheSize is how many prefixes an engine remembers.
const prefixCacheSize = 256

// prefixCache remembers the latest prompt prefixes in order of use.
type prefixCache struct {
	keys []string
}

func newPrefixCache() *prefixCache { return &prefixCache{} }

// touch records a use and reports whether the prefix was there.
func (c *prefixCache) touch(prefix string) bool {
	for i, k := range c.keys {
		if k == prefix {
			c.keys = append(append(c.keys[:i:i], c.keys[i+1:]...), prefix)
			return true
		}
	}
	c.keys = append(c.keys, prefix)
	if len(c.keys) > prefixCacheSize {
		c.keys = c.keys[1:]
	}
	return false
}
