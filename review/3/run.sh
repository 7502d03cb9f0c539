#!/usr/bin/env bash
# Backends give answers of 256 KB slowly, 64 KB a second, and in small pieces. Exits with 1 if a gateway passes on
# the first bytes of an answer in time and then cuts it off, with 0 if not, with 2 if the case could not run.
# TROUBLE=0: the backends give the same answers as fast as they go.
set -u
# shellcheck source=review/standins/site.sh
. "$(dirname "$0")/../standins/site.sh"
begin
bytes_per_s=65536
[ "$trouble" != 0 ] || bytes_per_s=0
start_site 3 6 --slow-answer-bytes 262144 --first-byte-ms 1000 --bytes-per-s "$bytes_per_s"
clients download --clients 12 --timeout-ms 1500 --bytes 262144
status=$?
count_ended
say "result: clients' status $status"
exit "$status"
