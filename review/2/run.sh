#!/usr/bin/env bash
# One of twenty backends hangs while clients send large bodies. Exits with 1 if a request that was taken is not
# answered in its time and half a second, with 0 if all are, with 2 if the case could not run.
# TROUBLE=0: no backend hangs.
set -u
# shellcheck source=review/standins/site.sh
. "$(dirname "$0")/../standins/site.sh"
begin
start_site 3 20
if [ "$trouble" != 0 ]; then
  kill -STOP "${backends[0]}"
  say "s-1 hangs from here on (SIGSTOP)"
fi
clients upload --clients 60 --every-ms 1 --from-kb 3900 --to-kb 6400 --timeout-ms 2500 --give-up-s 15
status=$?
count_ended
say "result: clients' status $status"
exit "$status"
