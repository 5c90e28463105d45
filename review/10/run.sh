#!/bin/sh
# Case 10; see claim.txt. With TROUBLE=0 no client leaves.
here=$(cd "$(dirname "$0")" && pwd)
exec sh "$here/../standin-2/run-case.sh" gone "$here"
