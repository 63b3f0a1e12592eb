#!/bin/sh
# Exits with 1 if the rule was broken in either form, 0 if it held in both, 2 if one could not run.
cd "$(dirname "$0")" || exit 2
status=0
for form in leaving silent; do
  python3 "$form.py"
  result=$?
  mv record.txt "record-$form.txt" || exit 2
  if [ "$result" -gt 1 ]; then status=2; fi
  if [ "$result" -eq 1 ] && [ "$status" -eq 0 ]; then status=1; fi
done
cat record-leaving.txt record-silent.txt > record.txt
rm record-leaving.txt record-silent.txt
exit "$status"
