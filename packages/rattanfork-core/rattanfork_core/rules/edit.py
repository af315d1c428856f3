"""Edits of a rules document from the command line."""

from rattanfork_core.rules.document import RuleModel, RulesDocument


def _position(document: RulesDocument, name: str) -> int:
    for position, rule in enumerate(document.rules):
        if rule.name == name:
            return position
    raise KeyError(f"no rule is named {name!r}")


def _with_rules(document: RulesDocument, rules: list[RuleModel]) -> RulesDocument:
    return document.model_copy(update={"rules": rules})


def retire_rule(document: RulesDocument, name: str) -> RulesDocument:
    """Return the document without the named rule.

    Raises
    ======

    KeyError
        If no rule has this name.
    """
    position = _position(document, name)
    rules = document.rules[:position] + document.rules[position + 1 :]
    return _with_rules(document, rules)


def move_rule(document: RulesDocument, name: str, position: int) -> RulesDocument:
    """Return the document with a rule moved to a position, counted from 1.

    Raises
    ======

    KeyError
        If no rule has this name.
    ValueError
        If the position is out of range.

    Examples
    ========

    >>> document = RulesDocument.model_validate({"rules": [
    ...     {"name": n, "then": {"attempts": 1}} for n in "abc"]})
    >>> [rule.name for rule in move_rule(document, "c", 1).rules]
    ['c', 'a', 'b']
    """
    if not 1 <= position <= len(document.rules):
        raise ValueError(f"position must be from 1 to {len(document.rules)}")
    rules = list(document.rules)
    rule = rules.pop(_position(document, name))
    rules.insert(position - 1, rule)
    return _with_rules(document, rules)
