"""Importance of a request, the first criterion of the shedding order."""

from enum import IntEnum


class Importance(IntEnum):
    """Importance of a request; the highest number is shed first.

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
        """Return the importance called ``name``; case is ignored.

        Raises
        ======

        ValueError
            If no importance has this name.
        """
        try:
            return cls[name.upper()]
        except KeyError:
            known = ", ".join(level.label for level in cls)
            raise ValueError(f"unknown importance {name!r}; known: {known}") from None

    @property
    def label(self) -> str:
        """Name of the importance as written in settings and rules."""
        return self.name.lower()


#: Ranks lie in ``[0, RANK_LIMIT)``: an importance plus a fraction that orders requests
#: of equal importance.  An admission threshold of this value admits everything.
RANK_LIMIT = len(Importance)
