package event

import "github.com/go-logr/logr"

// Event is a kind of log line.
type Event struct {
	number int
	// level is the log verbosity: 0 for events that operators must see and 1 for details.
	level   int
	message string
	doc     string
}

// Number returns the number by which operators look the event up.
func (e Event) Number() int { return e.number }

// Level returns the log verbosity: 0 for events that operators must see and 1 for details.
func (e Event) Level() int { return e.level }

// Message returns the text of the log line.
func (e Event) Message() string { return e.message }

// Doc returns what the event means and, where needed, what to do.
func (e Event) Doc() string { return e.doc }

// catalogue lists all events in the order of their declaration.
var catalogue []Event

// register adds an event to the catalogue.
func register(number, level int, message, doc string) Event {
	e := Event{number: number, level: level, message: message, doc: doc}
	catalogue = append(catalogue, e)
	return e
}

// The events of the catalogue.
var (
	HostStarted        = register(1001, 0, "host started", "The process listens for callers and other hosts.")
	HostServing        = register(1002, 0, "host serves", "The host knows the newest configuration and takes requests.")
	HostDraining       = register(1003, 0, "host drains", "A planned stop began: the host is no longer named to callers, issues no command keys and still serves callers with an older address answer.")
	HostStopped        = register(1004, 0, "host stopped", "The process exits; all requests ended unless event 1006 came before.")
	ListenFailed       = register(1005, 0, "listener failed", "A server ended with an error; the process exits.")
	HostForceStopped   = register(1006, 0, "host ended at once", "A second signal or the time limit of the setting drain ended a planned stop before all requests ended; the process exits with code 1.")
	ConfigAccepted     = register(1101, 0, "configuration accepted", "A newer configuration is in force on this host.")
	ConfigRejected     = register(1102, 0, "configuration refused", "A published configuration or a changed settings file is invalid; the last accepted one stays in force.")
	PlatformFailed     = register(1201, 1, "platform read failed", "A read of the configuration service or host list failed; it is repeated after a delay.")
	HostListRead       = register(1202, 1, "host list read", "A newer host list was read.")
	HandoverSent       = register(1401, 0, "command records handed over", "A planned stop gave the finished command records of this host to a successor, which answers resends.")
	HandoverFailed     = register(1402, 0, "handover failed", "A host did not take the command records; the next listed host is tried. Without a successor, resends of finished commands are answered as unknown.")
	HandoverReceived   = register(1403, 0, "command records taken", "This host answers resends of the commands of a stopped host.")
	CommandsRefused    = register(1404, 0, "commands refused", "A planned stop reached the point from which this host begins no commands; running ones end.")
	SuspectRefused     = register(1701, 0, "request crashes targets", "The request with this fingerprint crashed several targets that ran it, or each request whose prompt has this part crashed its target; all hosts refuse such requests as suspect. Find them by pipeline and workspace, or by the part, in the callers' logs.")
	CrashObserved      = register(1702, 0, "target lost under a request", "A target closed the connection while it had a request; the line has the shared parts of the prompt, the progress of the answer (begun: headers only; unclear: waiting for the headers, or with events since a moment; underway), its events, and whether the target still accepts connections.")
	OrderGiven         = register(1501, 0, "order given", "An engine took a model order.")
	StaleOrderFound    = register(1502, 0, "late order found", "An engine holds an order with an older fencing token than it held before; it is given the newer order again.")
	OrderFenced        = register(1503, 0, "order refused", "An engine refused an order for its older fencing token; this host has yet to learn of a newer configuration.")
	OrderFailed        = register(1504, 1, "order failed", "A report could not be read or an order not given; it is tried again in the next time slot of the engine.")
	ConfigHashMismatch = register(1601, 0, "document does not match its version", "Another host sent a configuration that does not hash to the version it stated; it was not used.")
	MemberChanged      = register(1602, 0, "member changed", "Another host joined, drains, is suspected, died or came back.")
	WatchStarted       = register(1603, 1, "platform watch started", "This host is one of those that watch the platform.")
	WatchStopped       = register(1604, 1, "platform watch stopped", "Other hosts watch the platform; this one learns from them.")
	SettingsReloaded   = register(1007, 0, "settings reloaded", "The settings file was read again; the new seeds are in force. Other changes need a restart.")
	StoreLost          = register(1203, 0, "store lost", "The metadata store does not answer; the last configuration and targets stay in force, and other hosts spread newer configurations.")
	StoreRecovered     = register(1204, 0, "store found", "The metadata store answers again. There was no outage if it is the followed hosts that were cut off from it.")
	TargetsChanged     = register(1205, 0, "targets changed", "The targets of a newer revision of the store are in force.")
	EntryIgnored       = register(1206, 1, "entry ignored", "An entry of the store is not used as a target, because a field is missing or wrong.")
	StoreReadFailed    = register(1207, 0, "store read failed", "A read of the metadata store failed after one that did not; this host reads again, or follows other hosts. The line has what was read (entries): the targets or the configuration.")
	LinkEnded          = register(1208, 0, "link ended", "A host that this one followed for the entries of the store does not respond any more, or sent no update in time (accepted is false).")
	ZoneEvacuated      = register(1209, 0, "zone evacuated", "The operator evacuates an availability zone: its targets (number) get no new work. Zero targets may mean that the zone is misspelt. The line has the revision of the entry.")
	ZoneRestored       = register(1210, 0, "zone restored", "The evacuation of an availability zone has ended: its targets (number) get work again.")
	EvacuationIgnored  = register(1211, 0, "evacuation ignored", "A key of an evacuation names no availability zone; nothing is evacuated by it.")
	StoreRestored      = register(1212, 0, "store restored", "The metadata store was restored from a backup: it has lost its latest changes and gives out their revisions again. The line has what was read (entries), and the era and the revision before and after (newera, newrevision).")
	EntryHeld          = register(1213, 0, "entry held back", "The restored store has an entry of a target that had left before (key): the target counts as leaving until the entry is written again, or for 6 s.")
	RequestEnded       = register(1302, 0, "request ended", "A request ended; the line has its route, target, attempts, times and the reason of a refusal or failure.")
	RequestRepeated    = register(1303, 0, "request repeated", "A request is sent to another target after the previous one failed.")
	TargetStated       = register(1304, 0, "target stated", "What a target states about itself changed (fact): that it leaves (leaving), the requests a second that it takes from all hosts together (limit, negative once it has none) the seconds for which it wants no requests from this host (wait), or the seconds for which it is cold and takes few requests (cold, 0 once it is warm). The line has the new value, for how many milliseconds the one before held (age, negative if there was none), and where it comes from (source): an answer, another host (host), its entry (entry), a refused connection (refusal) or a zone that was taken back (zone).")
	TargetBack         = register(1320, 0, "target back", "A target answered again after its process had ended (it had refused connections). It counts as cold for the cold time of its pool, unless it states another.")
	CallersEvicted     = register(1305, 0, "connections of callers closed", "Connections of callers were closed, or requests refused while their body was read, because all connections together reached the bound by the settings memory or descriptors. The line has their number since the last such line (at most one in 10 s), the open connections and the bytes that they hold.")
	EstimatesShared    = register(1306, 0, "estimates shared", "Whether this host chooses the targets of a pool by the estimates of all hosts (shared) changed: with the setting estimates, it does while there are at least 24 hosts and it sends less than one request per target in 10 s. The line has the number of hosts.")
	CallStarted        = register(1801, 0, "stage call started", "Pieces of one or more requests were sent to a target.")
	CallFailed         = register(1802, 0, "stage call failed", "A target did not run its pieces; they are sent to another one within the limit of retries.")
	PiecesFailed       = register(1804, 0, "pieces without result", "A call ended without results for some of its pieces: their deadline had passed, an input no longer existed, the target had no memory for the result or the work failed. Late pieces fail. After a missing input, the stages before run again once. The others are sent again within the limit of retries.")
	DispatcherSilent   = register(1803, 0, "dispatching host silent", "The host that dispatches a pool did not respond; the job goes to the next host.")
	ScarcityChanged    = register(1805, 0, "scarcity changed", "A pool that this host dispatches begins (scarce) or ceases to shed less urgent requests, as the demand exceeds its capacity. The line has the wait in milliseconds, the pieces on their way (announced), and the wait and the part that is refused of each priority level.")
	LinesDropped       = register(1901, 0, "log lines dropped", "The log output was too slow; the line has the number of lines that were lost since the last such line.")
	RequestRefused     = register(1301, 1, "request refused", "A request was refused; the counter of its reason was incremented.")
)

// Catalogue returns all events.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }

// Log writes a line for the event with key and value pairs.
func Log(l logr.Logger, e Event, pairs ...any) {
	l.V(e.level).Info(e.message, append([]any{"event", e.number}, pairs...)...)
}

// LogError writes a line for the event with an error and key and value pairs. Events that
// operators must see are written with logr's Error, which no verbosity hides.
func LogError(l logr.Logger, e Event, err error, pairs ...any) {
	if e.level > 0 {
		Log(l, e, append([]any{"error", err.Error()}, pairs...)...)
		return
	}
	l.Error(err, e.message, append([]any{"event", e.number}, pairs...)...)
}
