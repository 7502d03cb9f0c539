#!/usr/bin/env bash
# Guards against hunts of tools/faults that are passed over in silence: which of them it plays, and what it makes of
# their results, seen with a lab that only writes down how it is called.
set -uo pipefail
faults=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failed=0
# expect STATUS HUNTS CODES: the script's exit code and the number of hunts, where they end with CODES in turn
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
    echo "hunts that end with $3: status $status, wanted $1; $2 hunts wanted, played: $(cat "$folder/calls")"
    failed=1
  fi
}
expect 0 4 '0 0 0 0'
[ "$(grep -c -- '--real' "$folder/calls")" -eq 3 ] || { echo "not three hunts on sockets"; failed=1; }
[ "$(grep -c -- '--system-faults' "$folder/calls")" -eq 1 ] || { echo "no hunt with failing calls"; failed=1; }
[ "$(grep -c -- '--operations' "$folder/calls")" -eq 1 ] || { echo "no hunt with restarts"; failed=1; }
[ "$(grep -c -- '--seeds 1..5 --gateways 3' "$folder/calls")" -eq 4 ] || { echo "other plans than asked for"; failed=1; }
expect 1 4 '1 0 0 0'
expect 1 4 '0 1 0 0'
expect 1 4 '0 0 1 0'
expect 1 4 '0 0 0 1'
expect 2 1 '2 0 0 0'
expect 3 2 '0 3 0 0'
exit "$failed"
