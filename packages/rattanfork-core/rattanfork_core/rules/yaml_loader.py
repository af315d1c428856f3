"""YAML documents as validated models, with the place of every fault."""

from typing import Any, TypeVar

import yaml
from pydantic import BaseModel, ValidationError

from rattanfork_core.rules.finding import Finding, FindingsError

Model = TypeVar("Model", bound=BaseModel)

#: Documents nested deeper than this are refused before they are read.
_DEEPEST = 50
#: Longest document taken, in characters.
MAX_DOCUMENT_LENGTH = 4_000_000


def load_yaml_model(text: str, model: type[Model], source: str) -> Model:
    """Return a document as a validated model.

    Parameters
    ==========

    text : str
        The YAML document.
    model : type
        The model to validate against.
    source : str
        Name of the document in findings.

    Raises
    ======

    FindingsError
        With every fault found: bad YAML, doubled or unknown keys, wrong
        types, values out of range, contradictions.

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
        findings += [_locate(root, fault, source) for fault in error.errors()]
    if findings:
        findings.sort(key=lambda f: (f.line, f.column))
        raise FindingsError(findings)
    return value


def _compose(text: str, source: str) -> yaml.Node | None:
    if len(text) > MAX_DOCUMENT_LENGTH:
        raise FindingsError([Finding(source, 1, 1, "the document is too long")])
    try:
        return yaml.compose(text, Loader=yaml.CSafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line, column = (mark.line + 1, mark.column + 1) if mark else (1, 1)
        message = error.problem or error.context or "not YAML"
        raise FindingsError([Finding(source, line, column, message)]) from error
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        raise FindingsError([Finding(source, 1, 1, f"not YAML: {error}")]) from error


def _finding(node: yaml.Node, source: str, message: str) -> Finding:
    mark = node.start_mark
    return Finding(source, mark.line + 1, mark.column + 1, message)


def _construct(
    node: yaml.Node, source: str, findings: list[Finding], depth: int
) -> Any:
    if depth > _DEEPEST:
        # Aliases can make a small document endless; reading it would end in
        # a stack overflow.
        raise FindingsError([_finding(node, source, "nested too deeply")])
    if isinstance(node, yaml.MappingNode):
        return _construct_mapping(node, source, findings, depth)
    if isinstance(node, yaml.SequenceNode):
        return [_construct(n, source, findings, depth + 1) for n in node.value]
    try:
        return yaml.constructor.SafeConstructor().construct_object(node)
    except (yaml.YAMLError, ValueError) as error:
        findings.append(_finding(node, source, f"not a value: {error}"))
        return None


def _construct_mapping(
    node: yaml.MappingNode, source: str, findings: list[Finding], depth: int
) -> dict[Any, Any]:
    data: dict[Any, Any] = {}
    for key_node, value_node in node.value:
        key = key_node.value if isinstance(key_node, yaml.ScalarNode) else None
        if key is None:
            findings.append(_finding(key_node, source, "a key must be plain text"))
            continue
        if key in data:
            findings.append(_finding(key_node, source, f"key {key!r} stands twice"))
        data[key] = _construct(value_node, source, findings, depth + 1)
    return data


def _locate(root: yaml.Node | None, fault: Any, source: str) -> Finding:
    node, key_node = _find(root, fault["loc"])
    path = ".".join(str(part) for part in fault["loc"])
    if fault["type"] == "extra_forbidden":
        message = f"unknown key {str(fault['loc'][-1])!r}"
        node = key_node or node
    else:
        message = f"{path}: {fault['msg']}" if path else fault["msg"]
    if node is None:
        return Finding(source, 1, 1, message)
    return _finding(node, source, message)


def _find(
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
