#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
case=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$case/../.." && pwd) || exit 2
[ -f "$root/cli/target/pearladder.jar" ] && [ -d "$root/review/classes" ] || exit 2
exec timeout -k 5 115 java -Xmx512m -cp "$root/review/classes" RequestsAtOnce "$root" "$case/record.txt" 150 30 5000
