"""Parses log lines of gateways and agents for explain-versions and trace-request."""

import re
import sys

LINE = re.compile(
    r"(?P<time>\d{4}-\d\d-\d\dT\S+) (?P<level>[A-Z]+) (?P<process>\S+) (?P<text>\S+ .*)$")
FIELD = re.compile(r"(\w+)=(\"[^\"]*\"|\S*)")


def parse(stream, lines, unparsed):
    for line in stream:
        match = LINE.search(line.rstrip("\n"))
        if not match:
            unparsed.append(line)
            continue
        fields = {name: value.strip('"') for name, value in FIELD.findall(match["text"])}
        lines.append((match["process"], match["time"], match["text"], fields))


def read(tool, files):
    """Returns log lines as (process, time, text, fields), from `files` or from standard input.

    An unreadable file ends the tool with status 2. Lines in another format are counted and skipped.
    """
    lines, unparsed = [], []
    if not files:
        parse(sys.stdin, lines, unparsed)
    for name in files:
        try:
            with open(name, encoding="utf-8", errors="replace") as stream:
                parse(stream, lines, unparsed)
        except OSError as error:
            print(f"{tool}: {name}: {error.strerror}", file=sys.stderr)
            sys.exit(2)
    if unparsed:
        print(f"{tool}: {len(unparsed)} lines are no log lines", file=sys.stderr)
    return lines
