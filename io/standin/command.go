package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("standin")

// options are the arguments of the program standin.
type options struct {
	Kind      string        `long:"kind" choice:"platform" choice:"target" required:"true" description:"what to stand in for"`
	Listen    string        `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	Name      string        `long:"name" default:"target" description:"name of the target"`
	Slots     int           `long:"slots" default:"8" description:"calls that run at the same time"`
	Base      time.Duration `long:"base" default:"0" description:"time of each call"`
	Each      time.Duration `long:"each" default:"0" description:"time of each token"`
	Recognise bool          `long:"recognise" description:"recognise repeated keys"`
	Load      time.Duration `long:"load" default:"0" description:"time of each model load"`
	Loads     int           `long:"loads" default:"0" description:"model loads per minute that the weight store serves; 0 for no limit"`
	Fencing   bool          `long:"fencing" description:"refuse orders with an old fencing token"`
}

func (o options) handler() http.Handler {
	if o.Kind == "platform" {
		return NewPlatform().Handler()
	}
	var store *WeightStore
	if o.Loads > 0 {
		store = NewWeightStore(o.Loads)
	}
	return NewTarget(o.Name, WithSlots(o.Slots), WithLatency(o.Base, o.Each), WithWeightStore(store, o.Load),
		WithDeduplication(o.Recognise), WithFencing(o.Fencing)).Handler()
}

// Serve runs one stand-in as a process until the context ends. It prints its address.
func Serve(ctx context.Context, arguments []string, out io.Writer) (err error) {
	defer func() { err = Error.Wrap(err) }()
	var o options
	if _, err := flags.ParseArgs(&o, arguments); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: o.handler(), ReadHeaderTimeout: time.Second}
	_, _ = fmt.Fprintln(out, listener.Addr())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case <-ctx.Done():
		return server.Close()
	case err := <-ended:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}
}
