"""Exit statuses of the command."""

OK = 0
#: The request could not be carried out: no node or table, or an answer
#: that is not certain.
FAILED = 1
#: A document or an argument has faults; nothing was done.
BAD_INPUT = 2
#: Another change was accepted first; nothing was done.
CONFLICT = 4
