#!/usr/bin/env bash
# Plays every day of this folder on a deployment, with as many seeds as are asked for:
#   deploy/days/play.sh BENCH SITE [SEEDS]
# BENCH is the users' bench, SITE a deployment's file. CI does not run this: it has
# neither. Prints a line for each day; those with a broken rule are marked by the bench.
set -euo pipefail
cd "$(dirname "$0")/../.."
bench=$1 site=$2 seeds=${3:-1}
for day in deploy/days/*.toml; do
    for seed in $(seq 1 "$seeds"); do
        "$bench" run "$site" "$day" --seed "$seed" --why "days of our own: $(basename "$day")" |
            grep -E '^own-|^rules broken|^[A-Z]+ at' || true
    done
done
