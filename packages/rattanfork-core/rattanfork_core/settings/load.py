"""Loading of settings from YAML."""

from rattanfork_core.rules import load_yaml_model
from rattanfork_core.settings.models import NodeSettings


def load_settings(text: str, source: str = "settings") -> NodeSettings:
    """Return the settings of a YAML document.

    Raises
    ======

    FindingsError
        If the document is invalid, with every error and its position.

    Examples
    ========

    >>> from rattanfork_core.rules import FindingsError
    >>> try:
    ...     load_settings("edge_port: far", "s.yaml")
    ... except FindingsError as error:
    ...     found = [str(finding) for finding in error.findings]
    >>> [text for text in found if "edge_port" in text][0][:25]
    's.yaml:1:12: edge_port: I'
    """
    return load_yaml_model(text, NodeSettings, source)
