#!/usr/bin/env bash
# Tests scripts/run-tests on a made-up build with a test that passes and a program with a case that passes and one that
# fails.
set -euo pipefail
script=$(dirname "$0")/../scripts/run-tests
build=$(mktemp -d)
trap 'rm -rf "$build"' EXIT
cat >"$build/cases_test" <<'PROGRAM'
#!/usr/bin/env bash
cases="Suite::Good Suite::Bad"
chosen=$cases
if [ "${1:-}" = --except ]; then
  shift
  for it; do
    [[ " $cases " == *" $it "* ]] || exit 2
    chosen=${chosen/$it/}
  done
elif [ $# -gt 0 ]; then
  chosen=$1
fi
[[ $chosen != *Bad* ]]
PROGRAM
chmod +x "$build/cases_test"
echo 'add_test(good_test true)' >"$build/CTestTestfile.cmake"
echo 'add_test(cases_test "'"$build"'/cases_test")' >>"$build/CTestTestfile.cmake"

# expect WHAT STATUS ENTRIES: runs the script with these entries and checks whether it succeeds.
expect() {
  printf '%s\n' "$3" >"$build/red"
  local status=0
  "$script" "$build" "$build/red" >"$build/out" 2>&1 || status=$?
  if [ "$status" -ne "$2" ]; then
    echo "$1: exit status $status instead of $2"
    cat "$build/out"
    exit 1
  fi
}
expect "a case that fails and isn't listed" 1 ""
expect "a case that fails and is listed" 0 "test: cases_test Suite::Bad"
grep -q '^known red: cases_test Suite::Bad fails$' "$build/out"
expect "a listed case that passes, beside one that fails" 1 "test: cases_test Suite::Good"
grep -q '^known red: cases_test Suite::Good passes$' "$build/out"
expect "a whole program that is listed" 0 "test: cases_test"
grep -q '^known red: cases_test fails$' "$build/out"
expect "a case that doesn't exist" 1 "test: cases_test Suite::None
test: cases_test Suite::Bad"
expect "a program that doesn't exist" 1 "test: cases_test
test: none_test"
expect "a finding of the users' bench" 0 "test: cases_test
bench: a day of a site"
