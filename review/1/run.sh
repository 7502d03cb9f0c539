#!/usr/bin/env bash
# One answer of one backend is spoilt: its trailer section never ends. Exits with 1 if a gateway ends by itself
# or a request gets no whole answer, with 0 if not, with 2 if the case could not run.
# TROUBLE=0: no answer is spoilt.
set -u
# shellcheck source=review/standins/site.sh
. "$(dirname "$0")/../standins/site.sh"
begin
[ "$trouble" = 0 ] || only_first=(--spoil-at-ms 5000)
start_site 3 6
clients steady --clients 12 --seconds 10 --timeout-ms 2000
status=$?
count_ended
say "result: $ended of ${#gateways[@]} gateways have ended by themselves; clients' status $status"
echo "$ended of ${#gateways[@]} gateways have ended by themselves"
[ "$status" -le 1 ] || exit 2
[ "$ended" -eq 0 ] && [ "$status" -eq 0 ]
