package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"sassafrasward/io/wire"
)

// errNotHostList is returned for a document that is no host list.
var errNotHostList = errors.New("the document is no host list")

// decodeHosts decodes a host list. Entries that can't be decoded are left out, so that they hide none of
// the others: those with a field of another type, also one nested more deeply than json.Unmarshal allows.
func decodeHosts(raw []byte) (list wire.HostList, err error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber() // a number that is too large is read as well
	if err := expect(d, '{'); err != nil {
		return list, err
	}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return list, err
		}
		switch name {
		case "version":
			err = d.Decode(&list.Version)
		case "hosts":
			list.Hosts, err = decodeEntries(d)
		default:
			_, err = scalar(d)
		}
		if err != nil {
			return list, err
		}
	}
	if err := expect(d, '}'); err != nil {
		return list, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return list, errNotHostList
	}
	return list, nil
}

// expect reads a delimiter.
func expect(d *json.Decoder, delim json.Delim) error {
	token, err := d.Token()
	if err == nil && token != delim {
		err = errNotHostList
	}
	return err
}

// decodeEntries decodes the entries of a host list.
func decodeEntries(d *json.Decoder) (entries []wire.HostEntry, err error) {
	if err := expect(d, '['); err != nil {
		return nil, err
	}
	for d.More() {
		e, ok, err := decodeEntry(d)
		if err != nil {
			return nil, err
		}
		if ok {
			entries = append(entries, e)
		}
	}
	return entries, expect(d, ']')
}

// decodeEntry decodes one entry. ok is false for an entry that can't be used.
func decodeEntry(d *json.Decoder) (e wire.HostEntry, ok bool, err error) {
	token, err := d.Token()
	switch {
	case err != nil:
		return e, false, err
	case token != json.Delim('{'):
		return e, false, skip(d, token)
	}
	fields := map[string]*string{"host": &e.Host, "address": &e.Address, "peer": &e.Peer, "zone": &e.Zone, "kind": &e.Kind, "state": &e.State}
	ok = true
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return e, false, err
		}
		value, err := scalar(d)
		if err != nil {
			return e, false, err
		}
		if field, known := fields[name.(string)]; known {
			text, isText := value.(string)
			*field, ok = text, ok && isText
		}
	}
	return e, ok && e.Address != "", expect(d, '}')
}

// scalar reads one value; it is nil if it is nested.
func scalar(d *json.Decoder) (value json.Token, err error) {
	token, err := d.Token()
	if _, nested := token.(json.Delim); err != nil || !nested {
		return token, err
	}
	return nil, skip(d, token)
}

// skip reads the rest of a nested value after its first token.
func skip(d *json.Decoder, first json.Token) (err error) {
	depth := 0
	for token := first; err == nil; token, err = d.Token() {
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
	return err
}
