"""Reply to a peer that requests the cached rules."""

from rattanfork_core.revision import RevisionState

from rattanfork_node.peer.messages import RulesReply, RulesRequest


def rules_reply(state: RevisionState, request: RulesRequest) -> RulesReply:
    """Return the reply with the cached rules, without text that the peer has."""
    record = state.record
    text = "" if record.order == request.known else record.text
    return RulesReply(
        request.number,
        state.ready,
        record.revision,
        record.operation,
        record.author,
        record.comment,
        text,
        record.era,
    )
