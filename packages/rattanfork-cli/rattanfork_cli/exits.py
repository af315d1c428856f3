"""Exit statuses of the command line."""

OK = 0
#: The command failed, as a node or the table did not respond, or its result is
#: uncertain.
FAILED = 1
#: A document or an argument is invalid; nothing was changed.
BAD_INPUT = 2
#: A concurrent change was accepted first; nothing was changed.
CONFLICT = 4
