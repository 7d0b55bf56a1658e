package owner

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc"

	"sassafrasward/core/command"
	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/io/event"
	"sassafrasward/io/forward"
	"sassafrasward/io/runner"
	"sassafrasward/io/wire"
)

// service is the gRPC service by which other hosts reach an Owner.
type service struct {
	forward.UnimplementedCommandsServer
	owner *Owner
}

// Register registers the Commands service, which other hosts call.
func (o *Owner) Register(r grpc.ServiceRegistrar) {
	forward.RegisterCommandsServer(r, &service{owner: o})
}

// Forward implements forward.CommandsServer.
func (s *service) Forward(ctx context.Context, in *forward.Command) (reply *forward.Reply, err error) {
	defer func() { err = Error.Wrap(err) }()
	var request wire.Request
	if err := json.Unmarshal(in.GetBody(), &request); err != nil {
		return nil, err
	}
	answer, ok := s.owner.serveForwarded(ctx, in.GetRequest(), in.GetPipeline(), request)
	if !ok {
		return &forward.Reply{}, nil
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return nil, err
	}
	return &forward.Reply{Held: true, Answer: body}, nil
}

// serveForwarded answers a forwarded command. It returns false if this host neither owns the key
// nor holds the owner's records.
func (o *Owner) serveForwarded(ctx context.Context, id, pipeline string, request wire.Request) (answer wire.Answer, ok bool) {
	c, why := parse(pipeline, request)
	if why != reason.None {
		return refuse(id, why, ""), true
	}
	if !o.owns(c.key) {
		return o.answerInherited(id, c)
	}
	doc := o.views.Load().Document()
	if doc == nil {
		return refuse(id, reason.OwnerUnreachable, "no configuration"), true
	}
	// The pipeline may be missing from this host's configuration; an existing record is still
	// used to answer.
	p, _ := doc.Pipeline(pipeline)
	return o.runLocal(ctx, runner.NewRequest(id, p, request, nil), c), true
}

// Handover implements forward.CommandsServer.
func (s *service) Handover(_ context.Context, in *forward.Records) (taken *forward.Taken, err error) {
	defer func() { err = Error.Wrap(err) }()
	records := make([]command.Record, 0, len(in.GetRecords()))
	for _, r := range in.GetRecords() {
		record, err := decodeRecord(r)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return &forward.Taken{All: s.owner.importRecords(records)}, nil
}

// importRecords stores the records of a stopping owner and reports whether all were stored. A
// draining host stores none.
func (o *Owner) importRecords(records []command.Record) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.draining {
		return false
	}
	all := o.successor.Import(o.clock(), records)
	event.Log(o.log, event.HandoverReceived, "records", len(records), "all", all)
	return all
}

func decodeRecord(r *forward.Record) (record command.Record, err error) {
	key, err := command.Parse(r.GetKey())
	if err != nil {
		return record, err
	}
	end, ok := outcome.Parse(r.GetOutcome())
	var f command.Fingerprint
	if !ok || len(r.GetFingerprint()) != len(f) {
		return record, Error.New("record of key %s has outcome %q and a fingerprint of %d bytes", key, r.GetOutcome(), len(r.GetFingerprint()))
	}
	copy(f[:], r.GetFingerprint())
	why, _ := reason.Parse(r.GetReason())
	result := command.NewResult(end, why, r.GetAnswer())
	if len(r.GetAnswer()) == 0 {
		result = command.NewResultWithoutAnswer(end, why, int(r.GetSize()))
	}
	return command.NewRecord(key, r.GetWorkspace(), f, time.Duration(r.GetLeft())*time.Millisecond, result), nil
}

func encodeRecord(r command.Record) *forward.Record {
	f := r.Fingerprint()
	return &forward.Record{
		Key: r.Key().String(), Workspace: r.Workspace(), Fingerprint: f[:], Left: r.TTL().Milliseconds(),
		Outcome: r.Result().Outcome().String(), Reason: r.Result().Reason().String(),
		Answer: r.Result().Answer(), Size: int64(r.Result().Size()),
	}
}
