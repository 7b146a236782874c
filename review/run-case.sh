# Sourced by the run.sh of a case: runs CASE in the folder of the script and exits with its code; 2 if it can't start.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review/release/crocuswharf-review
if [ ! -x "$program" ] || [ ! -x target/release/crocuswharf-platform ]; then
    echo "build first: the build command of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
exec "$program" "$CASE" "$folder"
