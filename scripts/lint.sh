#!/usr/bin/env bash
# Checks the format, runs the linters and checks that generated code is current. It installs the pinned tools in
# bin/tools.
set -euo pipefail
cd "$(dirname "$0")/.."

tools=$PWD/bin/tools
mkdir -p "$tools"
[ -x "$tools/golangci-lint" ] || GOBIN=$tools go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
[ -x "$tools/msgp" ] || GOBIN=$tools go install github.com/tinylib/msgp@v1.6.5

"$tools/golangci-lint" fmt --diff ./...
"$tools/golangci-lint" run ./...

# The generator runs on a copy, so that the check never changes the tree.
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
cp internal/wire/wire.go "$copy/"
(cd "$copy" && go mod init wire >/dev/null 2>&1 && "$tools/msgp" -tests=false -file wire.go -o wire_gen.go >/dev/null)
diff -q "$copy/wire_gen.go" internal/wire/wire_gen.go >/dev/null || {
  echo "internal/wire/wire_gen.go is not current: run make generate" >&2
  exit 1
}
echo "lint: clean"
