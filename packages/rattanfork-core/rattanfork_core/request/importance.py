"""How much a request matters."""

from enum import IntEnum


class Importance(IntEnum):
    """Importance of a request; a lower number is shed later.

    Examples
    ========

    >>> Importance.CRITICAL < Importance.LOW
    True
    >>> Importance.parse("high")
    <Importance.HIGH: 1>
    """

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3
    BACKGROUND = 4

    @classmethod
    def parse(cls, name: str) -> "Importance":
        """Return the importance called ``name``.

        Raises
        ======

        ValueError
            If there is no such importance.
        """
        try:
            return cls[name.upper()]
        except KeyError:
            known = ", ".join(level.label for level in cls)
            raise ValueError(f"unknown importance {name!r}; known: {known}") from None

    @property
    def label(self) -> str:
        """The name operators write."""
        return self.name.lower()


#: Ranks lie in ``[0, RANK_LIMIT)``: the importance plus the request's fate.
RANK_LIMIT = len(Importance)
