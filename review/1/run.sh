#!/usr/bin/env bash
# A machine comes up very late, just as it is given back, over a slow link between controllers.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run.sh" late_machine "$here"
