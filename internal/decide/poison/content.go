package poison

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// contentPrefix begins the keys of contents. A part that a caller names like this is known under another key.
const contentPrefix = "content:"

// ContentKey returns the key of a request's content, which stays the same when its caller sends it again under another
// request ID. It is judged like a part that only the repeats of one request share.
func ContentKey(fields []string, body []byte) string {
	h := xxhash.New()
	for _, f := range fields {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(f)))) // a Digest returns no error
		_, _ = h.WriteString(f)
	}
	_, _ = h.Write(body)
	return contentPrefix + strconv.FormatUint(h.Sum64(), 16)
}

// IsContent reports whether a key is that of a request's content rather than of a prompt part.
func IsContent(key string) bool { return strings.HasPrefix(key, contentPrefix) }
