package target_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/schedule"
	"sassafrasward/io/target"
	"sassafrasward/io/wire"
)

// TestDialFailureIsNotCrash guards against a call that a dead target never received but that
// counts as its crash, which would make an unrelated request a crash suspect.
func TestDialFailureIsNotCrash(t *testing.T) {
	is := is.New(t)
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(dead.Close())
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer aborting.Close()
	for address, want := range map[string]schedule.CallStatus{
		dead.Addr().String():              schedule.ConnectFailed,
		aborting.Listener.Addr().String(): schedule.Crashed,
	} {
		reply, err := target.New().Run(context.Background(), address, wire.Run{Request: "r", Stage: "s", Attempt: 1, Input: []byte(`1`)}, nil)
		is.True(err != nil)
		is.Equal(reply.Status(), want)
	}
}
