package platform_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"sassafrasward/io/platform"
	"sassafrasward/io/wire"
)

// readHosts reads a host list that consists of the document.
func readHosts(t *testing.T, document string) (list wire.HostList, err error) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, document) }))
	defer s.Close()
	list, _, err = platform.New(strings.TrimPrefix(s.URL, "http://"), metrics.NewCounter()).Hosts(context.Background(), 1, 0)
	return list, err
}

// TestOddHosts guards against one odd entry of the host list by which a host stops following the list, or
// loses its other entries.
func TestOddHosts(t *testing.T) {
	const sound = `{"host":"e%d","address":"10.0.0.%[1]d:80","peer":"10.0.0.%[1]d:81","zone":"a","kind":"entry","state":"live","new":[{"x":1}]}`
	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	for name, odd := range map[string]string{
		"deep": deep, "deep field": `{"host":"x","state":` + deep + `}`, "deep object": strings.Repeat(`{"a":`, 50_000) + "1" + strings.Repeat("}", 50_000),
		"deep unknown field": `{"zone":7,"other":` + deep + `}`,
		"number":             "7", "large number": "1e999", "large number in a field": `{"host":1e999}`, "long number": strings.Repeat("9", 100_000),
		"text": `"x"`, "null": "null", "list": `[{"host":"e1"}]`, "true": "true", "object as a field": `{"address":{"host":"e1"}}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list, err := readHosts(t, fmt.Sprintf(`{"other":%s,"version":7,"hosts":[%s,%s,%s]}`, deep, fmt.Sprintf(sound, 1), odd, fmt.Sprintf(sound, 2)))
			is.NoErr(err)
			is.Equal(list.Version, uint64(7))
			is.Equal(list.Hosts, []wire.HostEntry{
				{Host: "e1", Address: "10.0.0.1:80", Peer: "10.0.0.1:81", Zone: "a", Kind: "entry", State: "live"},
				{Host: "e2", Address: "10.0.0.2:80", Peer: "10.0.0.2:81", Zone: "a", Kind: "entry", State: "live"},
			})
		})
	}
}

// TestBrokenHostLists guards against a document that is cut or no host list at all and counts as one.
func TestBrokenHostLists(t *testing.T) {
	const whole = `{"version":7,"hosts":[{"host":"e1","zone":"a"},[1]]}`
	_, err := readHosts(t, whole)
	is.New(t).NoErr(err)
	documents := []string{"[]", "7", "null", `{"hosts":7}`, `{"version":"x"}`, whole + "x", whole + whole}
	for n := range len(whole) {
		documents = append(documents, whole[:n])
	}
	for _, d := range documents {
		if _, err := readHosts(t, d); err == nil {
			t.Errorf("no error for %s", d)
		}
	}
}
