#!/usr/bin/env bash
# A controller without the state service and the other controllers starts tasks of a cancelled job.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run.sh" late_start "$here"
