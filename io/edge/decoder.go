package edge

import (
	"crypto/sha256"
	"sync"

	"sassafrasward/core/config"
	"sassafrasward/core/route"
	"sassafrasward/platform"
)

// decoder decodes configurations, one at a time. One that came from the store and from another host is decoded
// once. It is safe for concurrent use.
type decoder struct {
	mutex   sync.Mutex
	decoder platform.ConfigDecoder
	// table and version are those of the last valid configuration; nil and zero if there was none.
	table   *route.Table
	version config.Version
}

// decode decodes and checks a configuration.
func (d *decoder) decode(raw []byte) (t *route.Table, v config.Version, err error) {
	hash := sha256.Sum256(raw)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.table != nil && hash == d.version.Hash() {
		return d.table, d.version, nil
	}
	if t, err = d.decoder.Decode(raw); err != nil {
		return nil, v, err
	}
	d.table, d.version = t, config.NewVersion(t.Version(), hash)
	return d.table, d.version, nil
}
