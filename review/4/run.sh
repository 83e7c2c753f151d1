#!/usr/bin/env bash
# Shows the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if it couldn't run. TROUBLE=0 leaves the trouble out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in target/release/dewspard target/review-2/standin; do
    [ -x "$program" ] || { echo "$program isn't built" >&2; exit 2; }
done
exec target/review-2/standin checkpoints "$here/record.txt"
