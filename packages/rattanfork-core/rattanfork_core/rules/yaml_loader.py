"""Loading of YAML documents into validated models, with positions of all errors."""

from typing import Any, TypeVar

import yaml
from pydantic import BaseModel, ValidationError

from rattanfork_core.rules.finding import Finding, FindingsError

Model = TypeVar("Model", bound=BaseModel)

#: Maximum nesting depth of a document.
_MAX_DEPTH = 50
#: Maximum length of a document, in characters.
MAX_DOCUMENT_LENGTH = 4_000_000


def load_yaml_model(text: str, model: type[Model], source: str) -> Model:
    """Parse a YAML document and validate it.

    Parameters
    ==========

    text : str
        The YAML document.
    model : type
        The model to validate against.
    source : str
        Name of the document in error messages.

    Raises
    ======

    FindingsError
        With every error found: invalid YAML, duplicate or unknown keys, wrong
        types, values out of range, contradictory values.

    Examples
    ========

    >>> class Point(BaseModel):
    ...     x: int
    >>> load_yaml_model("x: 3", Point, "p.yaml").x
    3
    >>> try:
    ...     load_yaml_model("x: far", Point, "p.yaml")
    ... except FindingsError as error:
    ...     print(error.findings[0].line, error.findings[0].column)
    1 4
    """
    root = _compose(text, source)
    findings: list[Finding] = []
    data = _construct(root, source, findings, 0) if root is not None else None
    try:
        value = model.model_validate({} if data is None else data)
    except ValidationError as error:
        findings += [_locate(root, detail, source) for detail in error.errors()]
    if findings:
        findings.sort(key=lambda f: (f.line, f.column))
        raise FindingsError(findings)
    return value


def _compose(text: str, source: str) -> yaml.Node | None:
    if len(text) > MAX_DOCUMENT_LENGTH:
        raise FindingsError(
            [Finding(source, 1, 1, "document of at most 4000000 characters expected")]
        )
    try:
        return yaml.compose(text, Loader=yaml.CSafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line, column = (mark.line + 1, mark.column + 1) if mark else (1, 1)
        message = error.problem or error.context or "invalid YAML"
        raise FindingsError([Finding(source, line, column, message)]) from error
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        raise FindingsError(
            [Finding(source, 1, 1, f"invalid YAML: {error}")]
        ) from error


def _finding(node: yaml.Node, source: str, message: str) -> Finding:
    mark = node.start_mark
    return Finding(source, mark.line + 1, mark.column + 1, message)


def _construct(
    node: yaml.Node, source: str, findings: list[Finding], depth: int
) -> Any:
    if depth > _MAX_DEPTH:
        # A recursive alias would overflow the stack.
        raise FindingsError(
            [_finding(node, source, "nesting depth of at most 50 expected")]
        )
    if isinstance(node, yaml.MappingNode):
        return _construct_mapping(node, source, findings, depth)
    if isinstance(node, yaml.SequenceNode):
        return [_construct(n, source, findings, depth + 1) for n in node.value]
    try:
        return yaml.constructor.SafeConstructor().construct_object(node)
    except (yaml.YAMLError, ValueError) as error:
        findings.append(_finding(node, source, f"invalid value: {error}"))
        return None


def _construct_mapping(
    node: yaml.MappingNode, source: str, findings: list[Finding], depth: int
) -> dict[Any, Any]:
    data: dict[Any, Any] = {}
    for key_node, value_node in node.value:
        key = key_node.value if isinstance(key_node, yaml.ScalarNode) else None
        if key is None:
            findings.append(_finding(key_node, source, "key must be a scalar"))
            continue
        if key in data:
            findings.append(_finding(key_node, source, f"duplicate key {key!r}"))
        data[key] = _construct(value_node, source, findings, depth + 1)
    return data


def _locate(root: yaml.Node | None, detail: Any, source: str) -> Finding:
    node, key_node = _find_node(root, detail["loc"])
    path = ".".join(str(part) for part in detail["loc"])
    if detail["type"] == "extra_forbidden":
        message = f"unknown key {str(detail['loc'][-1])!r}"
        node = key_node or node
    else:
        message = f"{path}: {detail['msg']}" if path else detail["msg"]
    if node is None:
        return Finding(source, 1, 1, message)
    return _finding(node, source, message)


def _find_node(
    root: yaml.Node | None, path: tuple[Any, ...]
) -> tuple[yaml.Node | None, yaml.Node | None]:
    node, key_node = root, None
    for part in path:
        if isinstance(node, yaml.SequenceNode) and isinstance(part, int):
            if part >= len(node.value):
                break
            node = node.value[part]
        elif isinstance(node, yaml.MappingNode):
            pairs = [(k, v) for k, v in node.value if k.value == str(part)]
            if not pairs:
                break
            key_node, node = pairs[-1]
        else:
            break
    return node, key_node
