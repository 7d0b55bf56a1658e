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
	// maxChunkBytes is the size from which a handover message takes no more records. It is well
	// below the default message limit of gRPC (4 MiB), as the last record may exceed it.
	maxChunkBytes = 1 << 20
	// recordOverheadBytes is the estimated size of a record without its answer.
	recordOverheadBytes = 256
	// handoverTimeout limits the handover of all records to one host.
	handoverTimeout = 5 * time.Second
	// interruptedHandoverTimeout limits the whole handover if the context of Drain has ended.
	interruptedHandoverTimeout = time.Second
)

// StopAccepting makes the host refuse all commands that have not begun.
func (o *Owner) StopAccepting() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.draining {
		return
	}
	o.draining = true
	o.closeIfIdle()
	event.Log(o.log, event.CommandsRefused, "running", len(o.running))
}

// Drain refuses new commands, waits for running ones and hands over the records of finished
// commands, both its own and those of earlier owners, to the first live host of the host list that
// accepts them. If the context ends while commands are running, Drain hands over the records of
// the finished ones and returns the error of the context.
func (o *Owner) Drain(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	o.StopAccepting()
	select {
	case <-o.idle:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		// Running commands are abandoned; the successor answers their resends as unknown.
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

// errIfRunning returns err if a command is still running, and nil otherwise.
func (o *Owner) errIfRunning(err error) error {
	select {
	case <-o.idle:
		return nil
	default:
		return err
	}
}

// handOver sends the records to the first listed host that accepts them. If none does, resends
// are answered as unknown, which is not treated as a failure of Drain.
func (o *Owner) handOver(ctx context.Context, records []command.Record) {
	for _, h := range o.hostList.Load().Hosts {
		if h.Kind != wire.KindEntry || h.State != wire.StateLive || h.Host == o.host || h.Peer == "" {
			continue
		}
		err := o.sendRecords(ctx, h.Peer, records)
		if err == nil {
			event.Log(o.log, event.HandoverSent, "host", h.Host, "records", len(records))
			o.announceSuccessor(ctx, h.Host)
			return
		}
		event.LogError(o.log, event.HandoverFailed, err, "host", h.Host)
	}
	event.LogError(o.log, event.HandoverFailed, Error.New("no listed host accepted the records"), "records", len(records))
}

// sendRecords sends the records to one host.
func (o *Owner) sendRecords(ctx context.Context, address string, records []command.Record) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	conn, ok := o.connect(ctx, address)
	if !ok {
		return Error.New("cannot connect to %s", address)
	}
	client := forward.NewCommandsClient(conn)
	for len(records) > 0 {
		n, message := nextChunk(records)
		taken, err := client.Handover(ctx, message)
		if err != nil {
			return err
		}
		if !taken.GetAll() {
			return Error.New("%s did not accept all records", address)
		}
		records = records[n:]
	}
	return nil
}

// nextChunk returns a message with the first records and their number.
func nextChunk(records []command.Record) (n int, message *forward.Records) {
	message = &forward.Records{}
	for size := 0; n < len(records) && size < maxChunkBytes; n++ {
		message.Records = append(message.Records, encodeRecord(records[n]))
		size += recordOverheadBytes + len(records[n].Result().Answer())
	}
	return n, message
}
