#!/usr/bin/env bash
# The leader ends its own lease while it may still answer workers; then a machine loses the network.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run.sh" early_end "$here"
