#!/usr/bin/env bash
# Plays the regression runs: the days with trouble of the newest deployments, and prints the means.
#
#   FLEETBENCH=PATH deploy/measure/regression.sh FOLDER WHY [SEEDS]
#
# FOLDER is the one that holds the users' deployments. The large deployment is played small; its full
# days take a score of their own.
set -euo pipefail
cd "$(dirname "$0")/../.."

folder=$1
why=$2
seeds=${3:-11}

SMALL=--small deploy/measure/play.sh "$why" "$seeds" "$folder/large/inanga-rudder-large.toml"
deploy/measure/play.sh "$why" "$seeds" \
  "$folder/further/anms-rudder.toml" \
  "$folder/further-grown/anms-rudder-grown.toml" \
  "$folder/grown/cyflwr-hq-grown.toml" \
  "$folder/grown/inanga-rudder-grown.toml"
