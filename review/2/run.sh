#!/usr/bin/env bash
CASE=repeated
. "$(dirname "$0")/../run-case.sh"
