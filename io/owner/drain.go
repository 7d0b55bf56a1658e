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
	maxChunkBytes = 1 << 20
	// recordBytes is what a record takes in a message beside its answer.
	recordOverheadBytes = 256
	// handoverLimit bounds one attempt to hand over to one host.
	handoverTimeout = 5 * time.Second
	// haltLimit bounds the handover of a stop that ends before its commands do.
	interruptedHandoverTimeout = time.Second
)

// Close refuses commands that have not begun from now on.
func (o *Owner) StopAccepting() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.draining {
		event.Log(o.log, event.CommandsClosed, "running", len(o.running))
	}
	o.draining = true
	o.closeIfIdle()
}

// Drain refuses new commands, waits for running ones and hands the finished records to
// the first live host of the list that takes them: its own, and those that it inherited.
// If the context ends first, it hands over what is finished and returns the error of the
// context.
func (o *Owner) Drain(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	o.StopAccepting()
	select {
	case <-o.idle:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		// Commands that still run are cut off; the successor answers them as unknown.
		err = o.errIfRunning(ctx.Err())
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), interruptedHandoverTimeout)
		defer cancel()
	}
	o.mutex.Lock()
	now := o.clock()
	records := append(o.table.Export(now), o.successor.Export(now)...)
	o.mutex.Unlock()
	if len(records) > 0 {
		o.handOver(ctx, records)
	}
	return err
}

// busy returns the error if a command still runs.
func (o *Owner) errIfRunning(err error) error {
	select {
	case <-o.idle:
		return nil
	default:
		return err
	}
}

// handover gives the records to the first host that takes them. Without one, resends are
// answered as unknown, which is no reason for the stop to fail.
func (o *Owner) handOver(ctx context.Context, records []command.Record) {
	for _, h := range o.hostList.Load().Hosts {
		if h.Kind != wire.KindEntry || h.State != wire.StateLive || h.Host == o.host || h.Peer == "" {
			continue
		}
		err := o.sendRecords(ctx, h.Peer, records)
		if err == nil {
			event.Log(o.log, event.HandoverGiven, "host", h.Host, "records", len(records))
			o.announceSuccessor(ctx, h.Host)
			return
		}
		event.Fail(o.log, event.HandoverFailed, err, "host", h.Host)
	}
	event.Fail(o.log, event.HandoverFailed, Error.New("no listed host takes the records"), "records", len(records))
}

// give sends the records to one host.
func (o *Owner) sendRecords(ctx context.Context, address string, records []command.Record) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	conn, ok := o.connect(ctx, address)
	if !ok {
		return Error.New("%s cannot be reached", address)
	}
	client := forward.NewCommandsClient(conn)
	for len(records) > 0 {
		n, message := nextChunk(records)
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
func nextChunk(records []command.Record) (n int, message *forward.Records) {
	message = &forward.Records{}
	for size := 0; n < len(records) && size < maxChunkBytes; n++ {
		message.Records = append(message.Records, encodeRecord(records[n]))
		size += recordOverheadBytes + len(records[n].Result().Answer())
	}
	return n, message
}
