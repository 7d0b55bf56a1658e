package cli

const exitHelp = "Exit codes: 0 for success; 1 for a failure while running, such as a file or host that cannot be read or a request that does not end as done; 2 for invalid arguments, settings, configurations or traces."

const serveHelp = `Runs the daemon until SIGTERM or an interrupt, then stops gracefully: it finishes all running requests and exits with 0. After a second signal or the time limit that the setting drain gives, it exits at once with 1.

Example:
  sassafrasward serve --settings host.ini`

const edgeHelp = `Serves callers on a platform that publishes routes, keys and targets in a metadata store, until SIGTERM or an interrupt; then stops gracefully within the time limit that the setting grace gives. SIGHUP reloads the settings file. Log lines go to the standard output.

Example:
  sassafrasward edge --settings host.ini`

const explainHelp = `Reads log files of one or more hosts and prints the lines that name a request in chronological order, preceded by the cause. Exits with 1 if no line names it.

Example:
  sassafrasward explain 9c41d07be2a35f68 e1.log e2.log`

const checkHelp = `Checks a settings file and configurations, and prints each error on one line with file, section, key, value and allowed range. Exits with 2 if there is an error.

With --published, checks the JSON of a configuration before it is sent to a platform with routes: errors with their places, entries that can never match and limits that contradict each other. With --inforce or --store, also prints what it changes of the version in force; of API keys, only how many are added and removed. Warnings leave the exit code at 0; it is 2 if there is an error, and 1 if a file or the store can't be read.

Examples:
  sassafrasward check --settings host.ini
  sassafrasward check --published next.json --inforce current.json
  sassafrasward check --published next.json --store 10.0.0.9:8200 --json
  sassafrasward check --config published.ini
  sassafrasward check --config - < published.ini`

const presetHelp = `Prints a configuration with another active preset and every other byte unchanged. The system itself writes nothing: publish the output with the tools of the platform. Exits with 2 for an unknown preset or an invalid configuration.

Examples:
  sassafrasward preset --config published.ini peak > next.ini
  sassafrasward preset --host 10.0.0.1:8101 maintenance > next.ini`

const statusHelp = `Prints the active preset, the configuration version, the members, the targets with state and calls in flight, the queues and the counters of refusals and retries. With --fleet it asks each member that the host knows. Exits with 1 if a host does not answer.

Examples:
  sassafrasward status --host 10.0.0.1:8101
  sassafrasward status --host 10.0.0.1:8101 --fleet --json`

const callHelp = `Runs a pipeline and prints the answer as JSON. Exits with 1 if the outcome is not done.

Example:
  sassafrasward call --host 10.0.0.1:8101 --workspace thun --input '{"text":"x"}' summary`

const demoHelp = `Runs a platform, targets, two hosts and a caller in this process on loopback, sends requests of every kind, prints the stages of each, and exits with 0.

Example:
  sassafrasward demo`

const replayHelp = `Replays a recorded trace through the schedulers in virtual time, or against daemons and stand-ins over loopback with --live, and prints a report. Exits with 1 if a stated outcome of the trace is missed.

Examples:
  sassafrasward replay --trace traces/rush.trace --seed 1
  sassafrasward replay --trace traces/rush.trace --seed 1 --compare`
