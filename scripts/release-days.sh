#!/usr/bin/env bash
# Plays days of a site in which a newer version is released beside other troubles, one after the other, and prints a
# line a day: release-days.sh SITE COUNT FIRST, with SITE a site file and FIRST the first seed. FLEETBENCH is the path
# of the platform's bench. KEEP is a folder for the days that break a rule and their reports, WITHOUT is a list of
# kinds of entries that are left out, parted by commas. The bench writes an entry in journal/ for each day.
set -euo pipefail

if [ $# -ne 3 ]; then
  echo "usage: FLEETBENCH=program $0 SITE COUNT FIRST" >&2
  exit 2
fi
site=$(realpath -e "$1") count=$2 first=$3
bench=$(realpath -e "${FLEETBENCH:?holds the path of the platform bench}")
keep=
if [ -n "${KEEP:-}" ]; then
  mkdir -p "$KEEP"
  keep=$(realpath "$KEEP")
fi
cd "$(dirname "$0")/.."

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
go build -o "$work/drawer" ./platform/drawer/program

broken=0 unplayed=0
for ((seed = first; seed < first + count; seed++)); do
  "$work/drawer" "$site" --seed "$seed" --without "${WITHOUT:-}" >"$work/day.toml"
  name=$(sed -n "s/^name = ['\"]\(.*\)['\"]/\1/p" "$work/day.toml")
  "$bench" run "$site" "$work/day.toml" --no-cpu --seed "$seed" --why "release days: seed $seed${WITHOUT:+ without $WITHOUT}" \
    >"$work/report" 2>&1 || true

  line=$(grep "^$name " "$work/report" | head -1 || true)
  rules=$(sed -n 's/^rules broken: //p' "$work/report" | head -1)
  if [ -z "$line" ]; then
    unplayed=$((unplayed + 1))
    echo "seed=$seed not played: $(tail -1 "$work/report")"
  else
    read -r _ _ _ worth served _ <<<"$line"
    echo "seed=$seed worth=$worth served=$served broken=${rules:-none}"
  fi
  if [ -n "$rules" ] || [ -z "$line" ]; then
    [ -z "$rules" ] || broken=$((broken + 1))
    if [ -n "$keep" ]; then
      cp "$work/day.toml" "$keep/$name.toml"
      cp "$work/report" "$keep/$name.txt"
    fi
  fi
done
echo "$((count - unplayed)) days played, $broken broke a rule, $unplayed not played"
[ "$broken" -eq 0 ] && [ "$unplayed" -eq 0 ]
