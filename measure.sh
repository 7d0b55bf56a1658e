#!/usr/bin/env bash
# Runs all measurements and prints docs/measurements.md:
#   bash measure.sh > docs/measurements.md
# Run it on a committed tree, so that the commit that it names is the one measured.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" ./cmd/sassafrasward
replay() { "$bin/sassafrasward" replay "$@" || [ $? -eq 1 ]; }

block() { # command, then its output
  echo '```'
  echo "\$ sassafrasward replay $*"
  replay "$@" 2>/dev/null
  echo '```'
  echo
}

cat <<PAGE
# Measurements

Made by \`bash measure.sh\` on commit $(git rev-parse --short=12 HEAD). All figures come from
the commands shown; the same trace, seed and commit give the same replay to the byte. The
traces are described in [trace.md](trace.md). A missed bound is marked \`missed\`; bounds are
the objectives of section 1.2 of the [design](design.md); [missed.md](missed.md) gives the
causes of missed ones.

## How to read the figures

- \`attained %\`: requests answered completely and in time, of all requests.
- \`short p99\`, \`long p99\`: in ms. A request without an answer counts with its deadline, so
  that refusing cannot improve the figure.
- \`added %\`: slot time that retries and hedges added to all other calls.
- What the pools can do: a pool completes at most targets * slots / (mean work * slowdown of
  a full batch) calls/s, from the rates in the trace; the pool with the least room for its
  part of the mix decides. No cached prefix is counted, and the traces overload, greedy and
  switch have none. At the start of a peak one service time passes before the first answers
  to its load; until then the pools can only answer what arrived before.
- \`blocking\` and \`slowdown\` compare with a run of the same trace, seed and policy without
  long requests, or without slow moments; \`cost\` with a run in which the subject sends one
  request in ten.
- The replay does not model gossip, command keys, connections or the CPU time of hosts.

## Objectives, policy full

Measured value for the seeds 1 to 5.

| trace | outcome | 1 | 2 | 3 | 4 | 5 |
| --- | --- | --- | --- | --- | --- | --- |
PAGE
for t in overload switch mixed slow greedy rush heat; do
  for seed in 1 2 3 4 5; do
    replay --trace "traces/$t.trace" --seed "$seed" 2>/dev/null >"$bin/$seed"
  done
  for seed in 1 2 3 4 5; do sed -n '/^stated outcomes/,$p' "$bin/$seed" | grep measured; done |
    awk -v t="$t" '{
      i = index($0, "measured"); key = substr($0, 3, i - 3); sub(/ +$/, "", key)
      if (!(key in row)) order[n++] = key
      row[key] = row[key] " " $(NF-1) ($NF == "met" ? "" : " missed") " |"
    } END { for (k = 0; k < n; k++) print "| " t " | " order[k] " |" row[order[k]] }'
done
cat <<'PAGE'

Command for each figure: `sassafrasward replay --trace traces/TRACE.trace --seed SEED`.

## Each mechanism switched off in turn

PAGE
for t in overload switch mixed slow greedy rush heat; do
  block --trace "traces/$t.trace" --seed 1 --compare
done
cat <<'PAGE'
## The load peak second by second

PAGE
for p in baseline full; do
  echo '```'
  echo "\$ sassafrasward replay --trace traces/overload.trace --seed 1 --policy $p"
  replay --trace traces/overload.trace --seed 1 --policy $p 2>/dev/null | sed -n '1,2p;/^refusals/,/^$/p;/^second by second/,/^$/p'
  echo '```'
  echo
done
cat <<'PAGE'
## The same trace through daemons over loopback

In-process daemons and stand-ins; all messages pass over TCP, at half the duration.

PAGE
for mode in "" "--live --scale 0.5"; do
  echo '```'
  echo "\$ sassafrasward replay --trace traces/rush.trace --seed 1 $mode"
  # shellcheck disable=SC2086
  replay --trace traces/rush.trace --seed 1 $mode 2>/dev/null | sed -n '1p;/^  workspace/,/^  all/p;/^time to answer/,/^$/p;/^repeated/,/^$/p;/^stated/,$p'
  echo '```'
  echo
done
cat <<'PAGE'
## One daemon

The daemon of BenchmarkProcess and BenchmarkThroughput runs with GOMAXPROCS=1 in a process
of its own; callers and the target, which answers at once, run in the process of the
benchmark. Added latency is BenchmarkProcess less BenchmarkDirect; the allocations of the
daemon are the mallocs/op of BenchmarkInside less those of BenchmarkProcess. Times depend on
what else the machine does: the load averages stand below the figures, and two commits can
only be compared by runs in turn.

```
$ go test -run XXX -bench . -benchtime 3s ./io/daemon
PAGE
go test -run XXX -bench . -benchtime 3s ./io/daemon | grep -v '^ok\|^pkg\|^PASS' | tee "$bin/bench"
echo "load averages at the end: $(cut -d' ' -f1-3 /proc/loadavg), $(nproc) cores"
echo '```'
awk '
function metric(unit,   i) { for (i = 1; i <= NF; i++) if ($i == unit) return $(i-1) }
/^BenchmarkDirect/ { d50 = metric("p50-µs"); d99 = metric("p99-µs") }
/^BenchmarkInside/ { split($1, a, /[\/-]/); inside[a[2]] = metric("mallocs/op") }
/^BenchmarkProcess/ { split($1, a, /[\/-]/); p50[a[2]] = metric("p50-µs"); p99[a[2]] = metric("p99-µs"); cpu[a[2]] = metric("cpu-µs/op"); out[a[2]] = metric("mallocs/op") }
/^BenchmarkThroughput/ { split($1, a, /[\/-]/); rate[a[2]] = metric("requests/s"); busy[a[2]] = metric("cpu-µs/op") }
END {
  print "\n| pipeline | CPU µs | allocations | added p50 µs | added p99 µs | requests/s on one core | CPU µs at that rate |"
  print "| --- | --- | --- | --- | --- | --- | --- |"
  split("single four", names, " ")
  split("1 4", stages, " ")
  for (i = 1; i <= 2; i++) { n = names[i]
    printf "| %d stage(s) | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f |\n", stages[i], cpu[n], inside[n] - out[n], p50[n] - stages[i] * d50, p99[n] - d99, rate[n], busy[n] }
  print "\nFor four stages, four times the direct p50 and one direct p99 are taken off."
}' "$bin/bench"
