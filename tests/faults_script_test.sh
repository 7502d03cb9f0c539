#!/usr/bin/env bash
# Tests tools/faults with a stub emulator that records its arguments: each campaign must run, also after one that
# found something, and the exit code must report every failure. Guards against campaigns that are skipped
# silently.
#   faults_script_test.sh FAULTS
set -uo pipefail
faults=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failed=0
# expect STATUS CAMPAIGNS CODES: runs the script with campaigns that exit with CODES in turn; checks its exit
# code and the number of campaigns
expect() {
  local codes status
  read -ra codes <<<"$3"
  : >"$folder/calls"
  cat >"$folder/lab" <<LAB
#!/usr/bin/env bash
codes=(${codes[*]})
calls=\$(wc -l <"$folder/calls")
echo "\$*" >>"$folder/calls"
exit "\${codes[calls]}"
LAB
  chmod +x "$folder/lab"
  FAULTS_LAB="$folder/lab" "$faults" 5 3 "$folder/found" >/dev/null 2>&1
  status=$?
  if [ "$status" -ne "$1" ] || [ "$(wc -l <"$folder/calls")" -ne "$2" ]; then
    echo "campaigns that exit with $3: status $status, wanted $1; $2 campaigns wanted, ran: $(cat "$folder/calls")"
    failed=1
  fi
}
expect 0 4 '0 0 0 0'
[ "$(grep -c -- '--real' "$folder/calls")" -eq 3 ] || { echo "not three campaigns on real sockets"; failed=1; }
[ "$(grep -c -- '--system-faults' "$folder/calls")" -eq 1 ] || { echo "no campaign with failing system calls"; failed=1; }
[ "$(grep -c -- '--operations' "$folder/calls")" -eq 1 ] || { echo "no campaign with restarts"; failed=1; }
[ "$(grep -c -- '--seeds 1..5 --gateways 3' "$folder/calls")" -eq 4 ] || { echo "seeds or gateways differ from the arguments"; failed=1; }
expect 1 4 '1 0 0 0'
expect 1 4 '0 1 0 0'
expect 1 4 '0 0 1 0'
expect 1 4 '0 0 0 1'
expect 2 1 '2 0 0 0'
expect 3 2 '0 3 0 0'
exit "$failed"
