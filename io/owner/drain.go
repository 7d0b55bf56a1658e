package owner

import (
	"context"
	"time"

	"sassafrasward/core/command"
	"sassafrasward/io/event"
	"sassafrasward/io/forward"
	"sassafrasward/io/wire"
)

const (
	// chunk bounds the answers in one message of a handover in bytes, well below the
	// default limit of 4 MiB that gRPC sets on a message.
	chunk = 1 << 20
	// recordBytes is what a record takes in a message beside its answer.
	recordBytes = 256
	// handoverLimit bounds one attempt to hand over to one host.
	handoverLimit = 5 * time.Second
	// haltLimit bounds the handover of a stop that ends before its commands do.
	haltLimit = time.Second
)

// Close refuses commands that have not begun from now on.
func (o *Owner) Close() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.draining {
		event.Log(o.log, event.CommandsRefused, "running", len(o.flights))
	}
	o.draining = true
	o.settle()
}

// Drain refuses new commands, waits for running ones and hands the finished records to
// the first live host of the list that takes them: its own, and those that it inherited.
// If the context ends first, it hands over what is finished and returns the error of the
// context.
func (o *Owner) Drain(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	o.Close()
	select {
	case <-o.idle:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		// Commands that still run are cut off; the successor answers them as unknown.
		err = o.busy(ctx.Err())
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), haltLimit)
		defer cancel()
	}
	o.mutex.Lock()
	now := o.clock()
	records := append(o.table.Export(now), o.successor.Export(now)...)
	o.mutex.Unlock()
	if len(records) > 0 {
		o.handover(ctx, records)
	}
	return err
}

// busy returns the error if a command still runs.
func (o *Owner) busy(err error) error {
	select {
	case <-o.idle:
		return nil
	default:
		return err
	}
}

// handover gives the records to the first host that takes them. Without one, resends are
// answered as unknown, which is no reason for the stop to fail.
func (o *Owner) handover(ctx context.Context, records []command.Record) {
	for _, h := range o.listed.Load().Hosts {
		if h.Kind != wire.KindEntry || h.State != wire.StateLive || h.Host == o.host || h.Peer == "" {
			continue
		}
		err := o.give(ctx, h.Peer, records)
		if err == nil {
			event.Log(o.log, event.HandoverSent, "host", h.Host, "records", len(records))
			o.announce(ctx, h.Host)
			return
		}
		event.LogError(o.log, event.HandoverFailed, err, "host", h.Host)
	}
	event.LogError(o.log, event.HandoverFailed, Error.New("no listed host takes the records"), "records", len(records))
}

// give sends the records to one host.
func (o *Owner) give(ctx context.Context, address string, records []command.Record) error {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	conn, ok := o.connect(ctx, address)
	if !ok {
		return Error.New("%s cannot be reached", address)
	}
	client := forward.NewCommandsClient(conn)
	for len(records) > 0 {
		n, message := pack(records)
		taken, err := client.Handover(ctx, message)
		if err != nil {
			return err
		}
		if !taken.GetAll() {
			return Error.New("%s does not take all records", address)
		}
		records = records[n:]
	}
	return nil
}

// pack returns the first records in one message and their number.
func pack(records []command.Record) (n int, message *forward.Records) {
	message = &forward.Records{}
	for size := 0; n < len(records) && size < chunk; n++ {
		message.Records = append(message.Records, encode(records[n]))
		size += recordBytes + len(records[n].Result().Answer())
	}
	return n, message
}
