#!/usr/bin/env bash
# Plays the days with trouble of site files with several seeds, and prints the means.
#
#   FLEETBENCH=PATH deploy/measure/play.sh WHY SEEDS SITE_FILE...
#
# SEEDS is a list such as "11 12". DAYS may name other days, JOBS how many are played at once; SMALL may be
# --small, which plays a large day small.
set -euo pipefail
cd "$(dirname "$0")/../.."

why=$1
seeds=$2
shift 2
days=${DAYS:-trouble-1 scale-1 trouble-2 scale-2 trouble-3}
jobs=${JOBS:-4}
export small=${SMALL:-}

"$FLEETBENCH" build > /dev/null
mark=$(mktemp)
for site in "$@"; do
  for seed in $seeds; do
    for day in $days; do
      printf '%s\0' "$site" "$day" "$seed"
    done
  done
done | xargs -0 -n 3 -P "$jobs" bash -c \
  '"$FLEETBENCH" run "$1" "$2" $small --seed "$3" --why "$0, seed $3" > /dev/null 2>&1 || echo "$1 $2 seed $3 ended with an error"' "$why"
entries=$(find journal -maxdepth 1 -name '*.json' -newer "$mark")
rm "$mark"
# shellcheck disable=SC2086 # one word an entry
python3 deploy/measure/table.py --means $entries
